"""The endpoints that a balancer knows, and counts of the connections that it has there.

Bookkeeping only: no rule and no tuned figure is here. ``Fleet`` adds what is decided about endpoints.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from random import Random
from zlib import crc32

from sageturn.decision import events
from sageturn.decision.rendezvous import rank_endpoints
from sageturn.decision.settings import RequestClass, Settings
from sageturn.decision.slow_start import SlowStartBudget, SlowStartState
from sageturn.decision.state import EndpointState, FleetTotals, RequestState, adjust_count


class EndpointTable(ABC):
    """All endpoints, and sums over them. ``now_ms`` is the time of the event that is being handled."""

    def __init__(self, settings: Settings, rng: Random, initial_concurrency_limit: int) -> None:
        self.settings = settings
        self.now_ms = 0.0
        self.endpoints: dict[str, EndpointState] = {}  # listed, or still with connections
        self.ready: list[EndpointState] = []  # listed ready and not ejected
        self.local: list[EndpointState] = []  # the ready ones of our zone, where crossing zones has a price
        self.ejected: list[EndpointState] = []
        self.closed: dict[str, EndpointState] = {}
        self.rankings: dict[str, list[EndpointState]] = {}  # by group, as placement has ranked the ready ones
        self.own_zone = settings.zone if settings.cross_zone_cost else None
        # All zones ever listed, in that order: their relays bring clients, with endpoints there or without.
        self.zones: dict[str, None] = {settings.zone: None}
        # Ready endpoints of the first list: those that drain later have successors in it.
        self.first_listed_count = 0
        self.totals = FleetTotals()
        self.open_count = 0  # own connections, those in flight too
        self.tenant_counts = {tenant.name: 0 for tenant in settings.tenants}  # the same by tenant
        self.group_counts: dict[str, int] = {}  # and by group
        self.total_weight = 1.0  # effective weights of the ready endpoints
        self.mean_nominal_weight = 1.0
        self.warm_weight_ratio = 1.0  # of all weight, what is not in slow start
        self.quota_connections = sum(tenant.quota_connections for tenant in settings.tenants)
        self.slow_start = SlowStartBudget(settings, rng)
        self._initial_concurrency_limit = initial_concurrency_limit

    @abstractmethod
    def counts_as_full(self) -> bool:
        """Whether all of a closed endpoint's concurrency limit counts as in flight."""

    @abstractmethod
    def update_weights(self) -> None:
        """Set what each ready endpoint is due."""

    def update_totals(self, endpoint: EndpointState) -> None:
        """Bring the endpoint's part of the totals up to date, after a change of its state."""
        in_flight = limit = unknown_limit = open_count = 0
        if endpoint.ready and (endpoint.open_count or endpoint.closed):
            limit = endpoint.concurrency_limit
            is_counted_full = endpoint.closed and self.counts_as_full()
            in_flight = limit if is_counted_full else min(endpoint.in_flight, limit)
            open_count = endpoint.open_count
        elif endpoint.ready:
            unknown_limit = endpoint.concurrency_limit
        totals = self.totals
        totals.in_flight += in_flight - endpoint.counted_in_flight
        totals.limits += limit - endpoint.counted_limit
        totals.unknown_limits += unknown_limit - endpoint.counted_unknown_limit
        totals.open_count += open_count - endpoint.counted_open
        endpoint.counted_in_flight = in_flight
        endpoint.counted_limit = limit
        endpoint.counted_unknown_limit = unknown_limit
        endpoint.counted_open = open_count

    def quota_per_endpoint(self) -> float:
        """Connections of all relays that the quotas stand for at an endpoint of the first list."""
        return self.quota_connections / self.first_listed_count

    def sharing_relays(self) -> float:
        """Relays that share what one endpoint can hold: no more than it has connections."""
        if not self.quota_connections or not self.first_listed_count:
            return self.settings.relay_count
        return min(self.settings.relay_count, max(1.0, self.quota_per_endpoint()))

    def set_closed(self, endpoint: EndpointState, is_closed: bool) -> None:
        """A closed endpoint is sent nothing, and is kept in ``closed`` to be reevaluated."""
        endpoint.closed = is_closed
        if is_closed:
            self.closed[endpoint.name] = endpoint
        else:
            self.closed.pop(endpoint.name, None)
        self.update_totals(endpoint)

    def update_weight_totals(self) -> None:
        """Sum up the weights of the ready endpoints, after a change of them."""
        self.total_weight = sum(endpoint.effective_weight for endpoint in self.ready) or 1.0
        warm_weight = sum(endpoint.effective_weight for endpoint in self.ready if not endpoint.slow_start)
        self.warm_weight_ratio = warm_weight / self.total_weight
        nominal_weight = sum(endpoint.nominal_weight for endpoint in self.ready)
        self.mean_nominal_weight = nominal_weight / max(1, len(self.ready))

    def count_attempt(self, endpoint: EndpointState, in_flight: int, opened: int) -> None:
        """Change the numbers of its attempts in flight and of its open connections by these."""
        endpoint.in_flight += in_flight
        endpoint.open_count += opened
        self.update_totals(endpoint)

    def count_connection(self, request: RequestState, change: int) -> None:
        """Change the counts of all endpoints together, and those of the request's tenant and group."""
        self.open_count += change
        if request.tenant in self.tenant_counts:
            self.tenant_counts[request.tenant] += change
        if self.settings.groups and request.group:
            if request.endpoint is not None:
                adjust_count(request.endpoint.group_counts, request.group, change)
            if not adjust_count(self.group_counts, request.group, change):
                self.rankings.pop(request.group, None)

    def add(self, line: events.Endpoint, rounding_offset: float = 0.0) -> EndpointState:
        """Add an endpoint. One that is adopted with a connection, before any list, rounds nothing up."""
        endpoint = EndpointState(line.name, line.zone, line.cell, line.kind, line.state)
        endpoint.started_at_ms = line.started_at_ms
        endpoint.concurrency_limit = self._initial_concurrency_limit
        endpoint.rounding_offset = rounding_offset
        self.endpoints[line.name] = endpoint
        return endpoint

    def adopt(self, event: events.ConnectionAdopted, request_class: RequestClass) -> RequestState:
        """Count a connection that was established before this balancer started."""
        endpoint = self.endpoints.get(event.endpoint)
        if endpoint is None:
            endpoint = self.add(events.Endpoint(event.endpoint, "gone"))
        request = RequestState.of_adopted(event, request_class, endpoint, self.now_ms)
        endpoint.established[event.id] = request
        endpoint.untried = False
        self.count_attempt(endpoint, 0, 1)
        self.count_connection(request, 1)
        return request

    def rank(self, group: str, max_kept: int) -> list[EndpointState]:
        """Ready endpoints by the hash of the group, those of our zone first where crossing has a price.

        Rankings are kept until the list changes, or until there are ``max_kept`` of them.
        """
        ranked = self.rankings.get(group)
        if ranked is not None:
            return ranked
        ranked = rank_endpoints(self.local or self.ready, group)
        if len(ranked) < len(self.ready):
            remote = (endpoint for endpoint in self.ready if endpoint.zone != self.settings.zone)
            ranked += rank_endpoints(remote, group)
        if len(self.rankings) >= max_kept:
            self.rankings.clear()
        self.rankings[group] = ranked
        return ranked

    def apply_list(self, event: events.EndpointListEvent) -> None:
        """Take in a list that is whole, or changes of it."""
        if event.kind in ("full", "stale"):
            listed_names = {line.name for line in event.endpoints}
            for endpoint in self.endpoints.values():
                if endpoint.name not in listed_names:
                    endpoint.state = "gone"
        if not self.first_listed_count and event.endpoints:
            ready_count = sum(line.state == "ready" for line in event.endpoints)
            self.first_listed_count = ready_count or len(event.endpoints)
        self.zones.update((line.zone, None) for line in event.endpoints)
        for line in event.endpoints:
            self._apply_line(line, event.kind == "stale")
        self.rebuild()

    def _apply_line(self, line: events.Endpoint, is_stale: bool) -> None:
        age_ms = self.now_ms - line.started_at_ms
        endpoint = self.endpoints.get(line.name)
        if endpoint is None:
            endpoint = self.add(line, self.slow_start.rounding_offset(crc32(line.name.encode())))
            if is_stale:  # the relay was restarted: endpoints that are no longer new were tried before
                endpoint.untried = age_ms < self.settings.slow_start_ms
        elif line.state != "gone":
            endpoint.zone = line.zone
            endpoint.cell = line.cell
            endpoint.kind = line.kind
        is_weighted = self.settings.weights in ("nominal", "rough")
        endpoint.nominal_weight = (line.share if is_weighted else 1.0) * line.factor
        endpoint.state = line.state
        if line.started_at_ms and line.started_at_ms != endpoint.started_at_ms:
            endpoint.reset(line.started_at_ms)
        warm_at_ms = line.started_at_ms + self.settings.slow_start_ms
        if line.started_at_ms and self.now_ms < warm_at_ms and not endpoint.slow_start:
            endpoint.slow_start = SlowStartState(age_ms, endpoint.rounding_offset)

    def rebuild(self) -> None:
        """Rebuild the lists and sums, after a change of the endpoint list or of who is ejected."""
        gone = [e for e in self.endpoints.values() if e.state == "gone" and not e.open_count]
        for endpoint in gone:
            del self.endpoints[endpoint.name]
            endpoint.ready = False
            self.update_totals(endpoint)
            self.closed.pop(endpoint.name, None)
        self.ready = []
        self.ejected = []
        self.rankings = {}
        for endpoint in self.endpoints.values():
            endpoint.ready = endpoint.state == "ready" and not endpoint.ejected_until_ms
            if endpoint.ready:
                self.ready.append(endpoint)
            elif endpoint.state == "ready":
                self.ejected.append(endpoint)
            self.update_totals(endpoint)
        self.local = [endpoint for endpoint in self.ready if endpoint.zone == self.own_zone]
        self.update_weights()
