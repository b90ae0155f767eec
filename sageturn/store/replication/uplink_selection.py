"""The search for an uplink, and for a better one. No I/O, no clock."""

from __future__ import annotations

from random import Random

from sageturn.store.replication.membership import Address
from sageturn.store.replication.overlay_state import POLL_INTERVAL_S, OverlayState
from sageturn.store.replication.tree_order import Scope

FIRST_CHOICE_PROBABILITY = 0.5  # that an upgrade dials the most preferred candidate
UPLINK_DIAL_INTERVAL_S = 0.25  # between dials without an uplink
RETRY_DELAY_S = UPLINK_DIAL_INTERVAL_S / 5  # after a failed dial
MAX_CONCURRENT_DIALS = 4
UPGRADE_INTERVAL_S = 5.0


class UplinkSearch:
    """Dials the members before this one by preference, as long as none of them is linked."""

    def __init__(self, state: OverlayState) -> None:
        self._state = state
        self._next_dial_at = 0.0

    def schedule(self, at: float) -> None:
        """Sets the time of the next dial."""
        self._next_dial_at = at

    def on_dial_failed(self, now: float) -> None:
        """Brings the next dial forward."""
        self._next_dial_at = min(self._next_dial_at, now + RETRY_DELAY_S)

    def next_dial_at(self, now: float) -> float | None:
        """Returns when the next dial is due; None if none is, or it is due now."""
        is_pending = not self._state.has_uplink and self._next_dial_at > now
        return self._next_dial_at if is_pending else None

    def choose(self, now: float) -> Address | None:
        """Returns the address to dial now; None if there is none."""
        state = self._state
        if now < self._next_dial_at or state.dials.in_progress >= MAX_CONCURRENT_DIALS or state.has_uplink:
            return None
        address = state.dials.next_untried(now)
        if address is not None:
            self._next_dial_at = now + self._dial_interval_s(now)
        return address

    def _dial_interval_s(self, now: float) -> float:
        if self._state.routes.root_path(now) is None:
            return UPLINK_DIAL_INTERVAL_S
        # Connected to a root by another link there is no hurry.
        return self._state.rng.uniform(1, 2) * POLL_INTERVAL_S


class UplinkUpgrade:
    """Dials a member that would be a better uplink: the most preferred one, or one of a nearer scope."""

    def __init__(self, state: OverlayState) -> None:
        self._state = state
        self._next_dial_at: float | None = None

    def next_dial_at(self, now: float) -> float | None:
        """Returns when the next dial is due; None if none is, or it is due now."""
        at = self._next_dial_at
        return at if at is not None and at > now else None

    def choose(self, now: float) -> Address | None:
        """Returns the address to dial now; None if there is none."""
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
        return self._state.members.other_members[_first_or_any(better, rng)].address

    def _better_uplinks(self, now: float) -> list[str]:
        """Returns the members that may be dialed and would be a better uplink, by preference."""
        state = self._state
        candidates = state.members.parent_candidates
        uplink = state.links.uplink()
        best = next(candidates.by_preference(), None)
        if uplink is None or best is None or uplink == best:
            return []
        scope = candidates.scope_of(state.members.other_members[uplink]) or Scope.ZONE
        nearer = list(candidates.by_preference(nearer_than=scope))
        return [name for name in nearer or [best] if state.dials.may_dial_member(name, now)]


def _first_or_any(names: list[str], rng: Random) -> str:
    """Returns the first name half of the time, else any: the first one may be dead for long."""
    return names[0] if rng.random() < FIRST_CHOICE_PROBABILITY else rng.choice(names)
