"""The search for an uplink, and for a more preferred one. No I/O, no clock."""

from __future__ import annotations

from random import Random

from sageturn.store.replication.membership import Address
from sageturn.store.replication.overlay_state import POLL_INTERVAL_S, OverlayState
from sageturn.store.replication.tree_order import Scope

FIRST_CHOICE_PROBABILITY = 0.5  # probability that an upgrade dials the most preferred candidate
UPLINK_DIAL_INTERVAL_S = 0.25  # interval of the dials of a member without an uplink
RETRY_DELAY_S = UPLINK_DIAL_INTERVAL_S / 5  # maximum delay of the next dial after a failed one
MAX_CONCURRENT_DIALS = 4
UPGRADE_INTERVAL_S = 5.0


class UplinkSearch:
    """Schedule of dials to the members before this one, by preference, while none of them is linked."""

    def __init__(self, state: OverlayState) -> None:
        self._state = state
        self._next_dial_at = 0.0

    def schedule(self, at: float) -> None:
        """Set the time of the next dial."""
        self._next_dial_at = at

    def on_dial_failed(self, now: float) -> None:
        """Bring the next dial forward."""
        self._next_dial_at = min(self._next_dial_at, now + RETRY_DELAY_S)

    def next_dial_at(self, now: float) -> float | None:
        """Return the time of the next scheduled dial; None if none is scheduled, or it is due now."""
        is_pending = not self._state.has_uplink and self._next_dial_at > now
        return self._next_dial_at if is_pending else None

    def choose_address(self, now: float) -> Address | None:
        """Return the address to dial now; None if there is none."""
        state = self._state
        if (
            now < self._next_dial_at
            or state.dials.in_progress_count >= MAX_CONCURRENT_DIALS
            or state.has_uplink
        ):
            return None
        address = state.dials.next_untried(now)
        if address is not None:
            self._next_dial_at = now + self._dial_interval_s(now)
        return address

    def _dial_interval_s(self, now: float) -> float:
        if self._state.routes.root_path(now) is None:
            return UPLINK_DIAL_INTERVAL_S
        # A member that reaches a root over another link can search more slowly.
        return self._state.rng.uniform(1, 2) * POLL_INTERVAL_S


class UplinkUpgrade:
    """Schedule of dials to better uplinks: members of a nearer scope, else the most preferred member."""

    def __init__(self, state: OverlayState) -> None:
        self._state = state
        self._next_dial_at: float | None = None

    def next_dial_at(self, now: float) -> float | None:
        """Return the time of the next scheduled dial; None if none is scheduled, or it is due now."""
        at = self._next_dial_at
        return at if at is not None and at > now else None

    def choose_address(self, now: float) -> Address | None:
        """Return the address to dial now; None if there is none."""
        better = self._better_uplinks(now)
        if not better:
            self._next_dial_at = None
            return None
        rng = self._state.rng
        if self._next_dial_at is None:
            self._next_dial_at = now + rng.uniform(0, UPGRADE_INTERVAL_S)
        if now < self._next_dial_at:
            return None
        self._next_dial_at = now + rng.uniform(0.5, 1) * UPGRADE_INTERVAL_S
        return self._state.members.other_members[_draw_first_or_random(better, rng)].address

    def _better_uplinks(self, now: float) -> list[str]:
        """Return the members that would be a better uplink and may be dialed now, by preference."""
        state = self._state
        candidates = state.members.parent_candidates
        uplink = state.links.uplink()
        best = next(candidates.by_preference(), None)
        if uplink is None or best is None or uplink == best:
            return []
        scope = candidates.scope_of(state.members.other_members[uplink]) or Scope.ZONE
        nearer = list(candidates.by_preference(nearer_than=scope))
        return [name for name in nearer or [best] if state.dials.may_dial_member(name, now)]


def _draw_first_or_random(names: list[str], rng: Random) -> str:
    """Return the first name with ``FIRST_CHOICE_PROBABILITY``, else a random one.

    Other names get dials too because the first member may be dead for a long time.
    """
    return names[0] if rng.random() < FIRST_CHOICE_PROBABILITY else rng.choice(names)
