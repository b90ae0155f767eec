"""Load relief: selects the connections to migrate off an endpoint that holds too much."""

from __future__ import annotations

from collections import Counter
from random import Random

from sageturn.decision import actions
from sageturn.decision.fleet import Fleet
from sageturn.decision.settings import Settings
from sageturn.decision.state import EndpointState, RequestState

MAX_MIGRATION_COST = 0.1  # fraction of the service score; at a higher cost nothing is migrated
RELIEF_RATIO = 0.1  # part of an endpoint's connections that is migrated on an overload signal
RELIEF_RATIO_PER_RELAY = 0.01  # added per relay, as clients reconnect through relays that saw no signal
MAX_RELIEF_RATIO = 0.35  # upper bound of the sum of both ratios
RELIEF_PER_S = 8.0  # connections that all relays together migrate off endpoints over their quota
MIN_RELIEF_PERIOD_MS = 500.0  # shortest time that all relays take for RELIEF_PER_S migrations
RELIEF_PERIOD_SPREAD_MS = 1000.0  # uniform jitter added to MIN_RELIEF_PERIOD_MS, for a mean of 1 s

Migrations = list[actions.Action]


class LoadRelief:
    """Selector of connections to migrate. ``is_allowed`` is True if migrations cost little enough."""

    def __init__(self, settings: Settings, rng: Random, fleet: Fleet) -> None:
        self.is_allowed = settings.migration_cost <= MAX_MIGRATION_COST
        self._relay_count = settings.relay_count
        self._rng = rng
        self._fleet = fleet
        self._next_quota_relief_ms = 0.0

    def relieve_over_quota(self, now_ms: float, endpoint: EndpointState) -> Migrations:
        """Return the migration of one client off an endpoint over its quota, rate-limited over all relays."""
        max_connections = endpoint.quota.max_connections + endpoint.rounding_offset
        is_over = endpoint.connections.open_count >= max_connections + 1.0
        if not is_over or not self.is_allowed or now_ms < self._next_quota_relief_ms:
            return []
        period_ms = (MIN_RELIEF_PERIOD_MS + RELIEF_PERIOD_SPREAD_MS * self._rng.random()) * self._relay_count
        self._next_quota_relief_ms = now_ms + period_ms / RELIEF_PER_S
        return self.relieve(endpoint, 1)

    def relieve(self, endpoint: EndpointState, count: int | None = None) -> Migrations:
        """Return migrations of some clients off the endpoint, and mark their requests as finished.

        Args:
            endpoint: The endpoint to relieve.
            count: Largest number of clients; None for a part of those that it holds.
        """
        candidates = self._migration_candidates(endpoint)
        if count is None:
            # All relays see the signal: if each migrated its only connection, the endpoint would be empty.
            ratio = min(MAX_RELIEF_RATIO, RELIEF_RATIO + RELIEF_RATIO_PER_RELAY * self._relay_count)
            count = int(len(candidates) * ratio + 1.0 / self._fleet.sharing_relays() + self._rng.random())
        migrated = candidates[:count]
        for request in migrated:
            request.is_finished = True
            endpoint.forget_connection(request.id)
        return [actions.MigrateConnection(request.id) for request in migrated]

    def _migration_candidates(self, endpoint: EndpointState) -> list[RequestState]:
        """Return the connections that may be migrated, the preferred ones first.

        Members of the smallest group are first, because migrating a group's last connection saves the group's
        cost. Among groups of one size the heaviest are first, unless endpoints are scarce: a migrated client
        may then find no other endpoint.
        """
        established = endpoint.connections.established.values()
        group_sizes = Counter(request.group for request in established)
        load_factor = 0.0 if self._fleet.is_scarce() else -1.0
        now_ms = self._fleet.now_ms
        candidates = [request for request in established if request.migration_exempt_until_ms <= now_ms]
        candidates.sort(key=lambda request: (group_sizes[request.group], load_factor * request.load))
        return candidates
