"""The endpoints that a balancer knows, and counts of the connections that it has there.

Bookkeeping only: no rule and no tuned figure is here. ``Fleet`` adds what is decided about endpoints.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from random import Random
from zlib import crc32

from sageturn.decision import events
from sageturn.decision.events import EndpointStatus, ListEventKind
from sageturn.decision.settings import RequestClass, Settings, WeightMeaning
from sageturn.decision.slow_start import SlowStartBudget, SlowStartState
from sageturn.decision.state import (
    EndpointConnections,
    EndpointState,
    FleetTotals,
    RequestState,
    adjust_count,
)


class EndpointTable(ABC):
    """Keeps all endpoints, and sums over them. ``now_ms`` is the time of the event being handled."""

    def __init__(self, settings: Settings, rng: Random, initial_concurrency_limit: int) -> None:
        self.settings = settings
        self.now_ms = 0.0
        self.endpoints: dict[str, EndpointState] = {}  # listed, or still with connections
        self.ready: list[EndpointState] = []  # listed ready and not ejected
        self.local: list[EndpointState] = []  # the ready ones of our zone, where crossing zones has a cost
        self.ejected: list[EndpointState] = []
        self.shedding: dict[str, EndpointState] = {}  # sent nothing, until they are reevaluated
        self.rankings: dict[str, list[EndpointState]] = {}  # cache of the group ranking, by group
        self.own_zone = settings.zone if settings.cross_zone_cost else None
        # All zones ever listed, in that order: their relays bring clients even without endpoints.
        self.zones: dict[str, None] = {settings.zone: None}
        self.first_listed_count = 0  # ready endpoints of the first list
        self.totals = FleetTotals()
        self.open_count = 0  # own connections, in flight or established
        self.tenant_counts = {tenant.name: 0 for tenant in settings.tenants}  # open connections by tenant
        self.group_counts: dict[str, int] = {}  # open connections by group
        self.slow_start = SlowStartBudget(settings, rng)
        self._initial_concurrency_limit = initial_concurrency_limit
        self._is_weighted = settings.weights in (WeightMeaning.NOMINAL, WeightMeaning.ROUGH)

    @abstractmethod
    def measures_delay(self) -> bool:
        """Whether anything reports how long messages take."""

    @abstractmethod
    def update_weights(self) -> None:
        """Set the weights and quotas of the ready endpoints."""

    def update_totals(self, endpoint: EndpointState) -> None:
        """Bring the endpoint's part of the totals up to date, after a change of its state."""
        connections = endpoint.connections
        in_flight = limit = unknown_limit = open_count = 0
        is_shedding = endpoint.overload.is_shedding
        if endpoint.ready and (connections.open_count or is_shedding):
            limit = connections.concurrency_limit
            # Where loads alone show an overload, other endpoints have room: nobody need be throttled for it.
            is_counted_full = is_shedding and self.measures_delay()
            in_flight = limit if is_counted_full else min(connections.in_flight, limit)
            open_count = connections.open_count
        elif endpoint.ready:
            unknown_limit = connections.concurrency_limit
        totals = self.totals
        counted = endpoint.counted
        totals.in_flight += in_flight - counted.in_flight
        totals.limits += limit - counted.limits
        totals.unknown_limits += unknown_limit - counted.unknown_limits
        totals.open_count += open_count - counted.open_count
        counted.in_flight = in_flight
        counted.limits = limit
        counted.unknown_limits = unknown_limit
        counted.open_count = open_count

    def set_shedding(self, endpoint: EndpointState, is_shedding: bool) -> None:
        """Set whether the endpoint is sent nothing until it is reevaluated."""
        endpoint.overload.is_shedding = is_shedding
        if is_shedding:
            self.shedding[endpoint.name] = endpoint
        else:
            self.shedding.pop(endpoint.name, None)
        self.update_totals(endpoint)

    def count_attempt(self, endpoint: EndpointState, in_flight: int, opened: int) -> None:
        """Add to the numbers of the endpoint's attempts in flight and of its open connections."""
        endpoint.connections.in_flight += in_flight
        endpoint.connections.open_count += opened
        self.update_totals(endpoint)

    def count_connection(self, request: RequestState, change: int) -> None:
        """Add to the open connections of all endpoints, of the request's tenant and of its group."""
        self.open_count += change
        if request.tenant in self.tenant_counts:
            self.tenant_counts[request.tenant] += change
        if self.settings.groups and request.group:
            if request.endpoint is not None:
                adjust_count(request.endpoint.connections.group_counts, request.group, change)
            if not adjust_count(self.group_counts, request.group, change):
                self.rankings.pop(request.group, None)

    def add(self, line: events.Endpoint) -> EndpointState:
        """Add a listed endpoint, with a rounding offset of 0. Returns its state."""
        endpoint = EndpointState(
            line.name,
            crc32(line.name.encode()),
            line.zone,
            line.cell,
            line.kind,
            line.state,
            line.started_at_ms or None,
            0.0,
            EndpointConnections(self._initial_concurrency_limit),
        )
        self.endpoints[line.name] = endpoint
        return endpoint

    def adopt(self, event: events.ConnectionAdopted, request_class: RequestClass) -> RequestState:
        """Count a connection that was established before this balancer started, and return its state."""
        endpoint = self.endpoints.get(event.endpoint)
        if endpoint is None:
            endpoint = self.add(events.Endpoint(event.endpoint, EndpointStatus.GONE))
        request = RequestState.of_adopted(event, request_class, endpoint, self.now_ms)
        endpoint.connections.established[event.id] = request
        endpoint.connections.is_untried = False
        self.count_attempt(endpoint, 0, 1)
        self.count_connection(request, 1)
        return request

    def apply_list(self, event: events.EndpointListEvent) -> None:
        """Apply a complete list, or changes of it."""
        if event.kind in (ListEventKind.FULL, ListEventKind.STALE):
            listed_names = {line.name for line in event.endpoints}
            for endpoint in self.endpoints.values():
                if endpoint.name not in listed_names:
                    endpoint.state = EndpointStatus.GONE
        if not self.first_listed_count and event.endpoints:
            ready_count = sum(line.state == EndpointStatus.READY for line in event.endpoints)
            self.first_listed_count = ready_count or len(event.endpoints)
        self.zones.update((line.zone, None) for line in event.endpoints)
        is_stale = event.kind == ListEventKind.STALE
        for line in event.endpoints:
            self._apply_line(line, is_stale)
        self.rebuild()

    def _apply_line(self, line: events.Endpoint, is_stale: bool) -> None:
        age_ms = self.now_ms - line.started_at_ms
        endpoint = self.endpoints.get(line.name)
        if endpoint is None:
            endpoint = self.add(line)
            endpoint.rounding_offset = self.slow_start.rounding_offset(endpoint.name_hash)
            if is_stale:  # the relay was restarted: it had tried endpoints that are no longer new
                endpoint.connections.is_untried = age_ms < self.settings.slow_start_ms
        elif line.state != EndpointStatus.GONE:
            endpoint.zone = line.zone
            endpoint.cell = line.cell
            endpoint.kind = line.kind
        endpoint.weights.nominal = (line.share if self._is_weighted else 1.0) * line.factor
        endpoint.state = line.state
        if line.started_at_ms and line.started_at_ms != endpoint.started_at_ms:
            endpoint.restart(line.started_at_ms)
        warm_at_ms = line.started_at_ms + self.settings.slow_start_ms
        if line.started_at_ms and self.now_ms < warm_at_ms and not endpoint.slow_start:
            endpoint.slow_start = SlowStartState(age_ms, endpoint.rounding_offset)

    def rebuild(self) -> None:
        """Rebuild the lists and sums, after a change of the endpoint list or of who is ejected."""
        self._remove_gone()
        self.ready = []
        self.ejected = []
        self.rankings = {}
        ready_status = EndpointStatus.READY
        for endpoint in self.endpoints.values():
            is_listed_ready = endpoint.state == ready_status
            is_ready = is_listed_ready and endpoint.outlier.ejected_until_ms is None
            if is_ready:
                self.ready.append(endpoint)
            elif is_listed_ready:
                self.ejected.append(endpoint)
            if is_ready != endpoint.ready or endpoint.overload.is_shedding:
                endpoint.ready = is_ready
                self.update_totals(endpoint)
        self.local = [endpoint for endpoint in self.ready if endpoint.zone == self.own_zone]
        self.update_weights()

    def _remove_gone(self) -> None:
        """Remove the endpoints that are gone and hold no connection."""
        gone_status = EndpointStatus.GONE
        for name, endpoint in list(self.endpoints.items()):
            if endpoint.state == gone_status and not endpoint.connections.open_count:
                del self.endpoints[name]
                endpoint.ready = False
                self.update_totals(endpoint)
                self.shedding.pop(name, None)
