"""Group ranking: orders the endpoints by a group's preference, in the same order at all relays."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from math import ceil

from sageturn.decision.fleet import Fleet
from sageturn.decision.rendezvous import rank_endpoints
from sageturn.decision.state import EndpointState, RequestState

GROUP_PRIOR_SHARE = 0.02  # expected share of a group in all connections
GROUP_PRIOR_WEIGHT = 10.0  # connections that this prior counts as, because a relay's own few prove little
MAX_RANKED_GROUPS = 500  # largest number of cached rankings


@dataclass(slots=True)
class RankedGroup:
    """The ready endpoints in a group's order of preference."""

    endpoints: list[EndpointState]
    home_count: int  # number of leading endpoints that are the group's homes


class GroupRanking:
    """Ranking of the ready endpoints for each group by rendezvous hashing.

    Each group costs an endpoint that holds any of its connections, so a group is kept on its homes: the first
    endpoints of its ranking, whose number grows with the group's share of all connections.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet

    def rank(self, group: str) -> RankedGroup:
        """Return the group's ranking. Its list of endpoints is cached; only ``prefer`` may change it."""
        fleet = self._fleet
        group_count = fleet.group_counts.get(group, 0) + GROUP_PRIOR_SHARE * GROUP_PRIOR_WEIGHT
        group_share = group_count / (fleet.open_count + GROUP_PRIOR_WEIGHT)
        home_count = max(1, ceil(len(fleet.local or fleet.ready) * group_share))
        return RankedGroup(self._ranked_endpoints(group), home_count)

    def prefer(self, ranked: RankedGroup, endpoint: EndpointState) -> None:
        """Move an endpoint to the front of the group's cached ranking.

        The cache drops the ranking when the endpoint list changes, if not before.
        """
        ranked.endpoints.remove(endpoint)
        ranked.endpoints.insert(0, endpoint)

    def spill_candidates(
        self, request: RequestState, ranked: RankedGroup, is_migrated: bool
    ) -> Iterable[EndpointState]:
        """Return the endpoints that a request of the group may spill to, in order of preference.

        The group's homes are left out, except for a migrated request, which prefers the endpoints that hold
        connections of its group. While endpoints are scarce the group spreads to no further endpoint: only
        those that hold connections of it and its first ones of other zones are returned, unless the request
        is a takeover.
        """
        fleet = self._fleet
        group = request.group
        home_count = ranked.home_count
        candidates = ranked.endpoints[home_count:]
        if is_migrated:
            candidates = sorted(
                ranked.endpoints, key=lambda endpoint: group not in endpoint.connections.group_counts
            )
        if not fleet.is_scarce() or request.is_takeover:
            return candidates
        local_count = len(fleet.local or fleet.ready)
        return (
            endpoint
            for rank, endpoint in enumerate(candidates, home_count)
            if group in endpoint.connections.group_counts or local_count <= rank < local_count + home_count
        )

    def _ranked_endpoints(self, group: str) -> list[EndpointState]:
        """Return the ready endpoints in the group's hash order, those of the relay's zone first."""
        fleet = self._fleet
        ranked = fleet.rankings.get(group)
        if ranked is not None:
            return ranked
        ranked = rank_endpoints(fleet.local or fleet.ready, group)
        if len(ranked) < len(fleet.ready):
            remote = (endpoint for endpoint in fleet.ready if endpoint.zone != fleet.settings.zone)
            ranked += rank_endpoints(remote, group)
        if len(fleet.rankings) >= MAX_RANKED_GROUPS:
            fleet.rankings.clear()
        fleet.rankings[group] = ranked
        return ranked
