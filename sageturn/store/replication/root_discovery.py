"""Discovery of members that belong to the tree of another root. No I/O, no clock.

After a partition, or if only some pairs of members can connect, two groups of members can each have a root of
their own. A root that counts fewer members than are known dials others with a growing backoff. Members other
than the root do so rarely, in case the root can reach none of the members of the other tree.
"""

from __future__ import annotations

from collections.abc import Sequence

from sageturn.store.replication.membership import Address
from sageturn.store.replication.overlay_state import POLL_INTERVAL_S, OverlayState
from sageturn.store.replication.route_table import ROOT_HEARTBEAT_TTL_S

ANY_MEMBER_PROBABILITY = 0.5  # probability of dialing any unlinked member instead of seeds or alternatives
INITIAL_INTERVAL_S = 0.25  # first interval between a root's dials; doubles with each dial
MAX_INTERVAL_S = 10.0
MAX_ISOLATED_INTERVAL_S = 2.0  # maximum interval of a root without any link
NON_ROOT_INTERVAL_S = 10.0  # constant part of the mean interval of a member that is not a root
NON_ROOT_INTERVAL_PER_MEMBER_S = 6.0  # part of that mean interval for each known member


class RootDiscovery:
    """Schedule of dials to members, seeds and alternatives while other members may have another root."""

    def __init__(self, state: OverlayState) -> None:
        self._state = state
        self._root_interval_s = INITIAL_INTERVAL_S
        self._next_dial_at: float | None = None
        self._scheduled_as_root = True
        self._dial_count = 0
        self._last_dialed_at: dict[Address, float] = {}

    def schedule(self, at: float) -> None:
        """Set the time of the next dial."""
        self._next_dial_at = at

    def on_member_started(self) -> None:
        """Reset a root's interval after the start of a new member or of a new incarnation."""
        self._root_interval_s = INITIAL_INTERVAL_S

    def on_uplink_lost(self) -> None:
        """Reset the interval and the schedule, since this member may have become a root."""
        self._root_interval_s = INITIAL_INTERVAL_S
        self._next_dial_at = None

    def next_dial_at(self, now: float) -> float | None:
        """Return the time of the next scheduled dial; None if none is scheduled, or it is due now."""
        at = self._next_dial_at
        return at if at is not None and at > now else None

    def choose_address(self, now: float) -> Address | None:
        """Return the address to dial now; None if there is none."""
        if not self._is_needed(now):
            self._next_dial_at = None
            return None
        is_root = not self._state.has_uplink
        if is_root != self._scheduled_as_root:
            self._scheduled_as_root = is_root
            self._next_dial_at = None
        if self._next_dial_at is None:
            self._next_dial_at = self._first_dial_at(is_root, now)
        if now < self._next_dial_at:
            return None
        self._next_dial_at = now + self._advance_interval_s(is_root)
        self._dial_count += 1
        return self._choose_target(is_root, now)

    def _is_needed(self, now: float) -> bool:
        state = self._state
        unknown_seeds = state.dials.unknown_seeds
        if not len(state.links):
            return len(state.members) > 1 or bool(unknown_seeds or state.dials.alternatives)
        is_connected_to_root = state.routes.root_path(now) is not None
        if state.has_uplink:
            return is_connected_to_root and not self._counts_all_members(now)
        if is_connected_to_root:
            return next(state.members.parent_candidates.by_preference(), None) is not None
        return not self._counts_all_members(now) or bool(unknown_seeds)

    def _counts_all_members(self, now: float) -> bool:
        return self._state.routes.member_count(now) >= len(self._state.members)

    def _first_dial_at(self, is_root: bool, now: float) -> float:
        state = self._state
        if not is_root:
            return now + ROOT_HEARTBEAT_TTL_S + self._non_root_interval_s()
        # The search for an uplink first dials the members before this one in the global order.
        is_search_active = bool(state.dials.in_progress_count) or state.dials.next_untried(now) is not None
        delay_s = 2 * POLL_INTERVAL_S if is_search_active else self._root_interval_s
        return now + state.rng.uniform(0.5, 1) * delay_s

    def _advance_interval_s(self, is_root: bool) -> float:
        """Return the seconds until the next dial, and double a root's interval up to its maximum."""
        if not is_root:
            return self._non_root_interval_s()
        interval_s = self._root_interval_s
        max_interval_s = MAX_INTERVAL_S if len(self._state.links) else MAX_ISOLATED_INTERVAL_S
        self._root_interval_s = min(max_interval_s, interval_s * 2)
        return interval_s * self._state.rng.uniform(0.75, 1.25)

    def _non_root_interval_s(self) -> float:
        mean_s = NON_ROOT_INTERVAL_S + NON_ROOT_INTERVAL_PER_MEMBER_S * len(self._state.members)
        return self._state.rng.expovariate(1 / mean_s)

    def _choose_target(self, is_root: bool, now: float) -> Address | None:
        state = self._state
        predecessors = self._dialable_predecessors(is_root, now)
        targets = self._dialable_seeds_and_alternatives(is_root, now)
        if len(state.links) and self._counts_all_members(now):
            # All known members are linked: only an uplink or members at unknown seeds can be missing.
            is_connected_to_root = state.routes.root_path(now) is not None
            return self._least_recently_dialed(predecessors if is_connected_to_root else targets, now)
        if predecessors and self._dial_count % 2:
            return self._least_recently_dialed(predecessors, now)
        if not targets or state.rng.random() < ANY_MEMBER_PROBABILITY:
            targets = self._dialable_members(is_root, now) or targets
        if not targets and not len(state.links):
            # A member without any link ignores the backoffs.
            targets = self._addresses_not_in_progress()
        return self._least_recently_dialed(targets, now)

    def _dialable_predecessors(self, is_root: bool, now: float) -> list[Address]:
        state = self._state
        names = state.members.parent_candidates.by_preference()
        eligible = [name for name in names if state.dials.may_dial_member(name, now, is_root)]
        return [state.members.other_members[name].address for name in eligible]

    def _dialable_members(self, is_root: bool, now: float) -> list[Address]:
        state = self._state
        return [
            member.address
            for member in state.members.other_members.values()
            if state.dials.may_dial_member(member.name, now, is_root)
        ]

    def _dialable_seeds_and_alternatives(self, is_root: bool, now: float) -> list[Address]:
        dials = self._state.dials
        addresses = [*dials.unknown_seeds, *dials.alternatives]
        return [address for address in addresses if dials.may_dial(address, now, is_root)]

    def _addresses_not_in_progress(self) -> list[Address]:
        dials = self._state.dials
        known = self._state.members.names_by_address
        addresses = [*known, *dials.unknown_seeds, *dials.alternatives]
        return [address for address in addresses if not dials.is_in_progress(address)]

    def _least_recently_dialed(self, addresses: Sequence[Address], now: float) -> Address | None:
        """Return a random one of the least recently dialed addresses; None if ``addresses`` is empty."""
        if not addresses:
            return None
        oldest = min(self._last_dialed_at.get(address, 0.0) for address in addresses)
        candidates = [address for address in addresses if self._last_dialed_at.get(address, 0.0) == oldest]
        chosen = self._state.rng.choice(candidates)
        if len(self._last_dialed_at) > self._state.dials.max_tracked_addresses:
            self._last_dialed_at.clear()
        self._last_dialed_at[chosen] = now
        return chosen
