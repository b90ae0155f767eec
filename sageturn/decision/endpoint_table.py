"""Table of the endpoints that a balancer knows, with counts of its connections to them.

This module is bookkeeping only, without rules or tuned constants; ``Fleet`` adds the decisions.
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
    """Table of all endpoints and of sums over them. ``now_ms`` is the time of the event being handled."""

    def __init__(self, settings: Settings, rng: Random, initial_concurrency_limit: int) -> None:
        self.settings = settings
        self.now_ms = 0.0
        self.endpoints: dict[str, EndpointState] = {}  # listed, or removed but with open connections
        self.ready: list[EndpointState] = []  # listed ready and not ejected
        self.local: list[EndpointState] = []  # ready endpoints in our zone; empty if crossing has no cost
        self.ejected: list[EndpointState] = []
        # Endpoints that are sent nothing until they are reevaluated.
        self.shedding: dict[str, EndpointState] = {}
        self.rankings: dict[str, list[EndpointState]] = {}  # cache of the group ranking, by group
        self.own_zone = settings.zone if settings.cross_zone_cost else None
        # All zones ever listed, in order of appearance: their relays bring clients even without endpoints.
        self.zones: dict[str, None] = {settings.zone: None}
        self.first_listed_count = 0  # number of ready endpoints in the first list
        self.totals = FleetTotals()
        self.open_count = 0  # own connections, in flight or established
        self.tenant_counts = {tenant.name: 0 for tenant in settings.tenants}  # open connections by tenant
        self.group_counts: dict[str, int] = {}  # open connections by group
        self.slow_start = SlowStartBudget(settings, rng)
        self._initial_concurrency_limit = initial_concurrency_limit
        self._is_weighted = settings.weights in (WeightMeaning.NOMINAL, WeightMeaning.ROUGH)

    @abstractmethod
    def measures_delay(self) -> bool:
        """Return True if anything reports how long messages take."""

    @abstractmethod
    def update_weights(self) -> None:
        """Set the weights and quotas of the ready endpoints."""

    def update_totals(self, endpoint: EndpointState) -> None:
        """Update the endpoint's contribution to the totals after a change of its state."""
        connections = endpoint.connections
        in_flight = limit = unused_limit = open_count = 0
        is_shedding = endpoint.overload.is_shedding
        if endpoint.ready and (connections.open_count or is_shedding):
            limit = connections.concurrency_limit
            # If only loads show an overload, other endpoints have headroom, so no tenant is throttled for it.
            is_counted_full = is_shedding and self.measures_delay()
            in_flight = limit if is_counted_full else min(connections.in_flight, limit)
            open_count = connections.open_count
        elif endpoint.ready:
            unused_limit = connections.concurrency_limit
        totals = self.totals
        contribution = endpoint.contribution
        totals.in_flight += in_flight - contribution.in_flight
        totals.limits += limit - contribution.limits
        totals.unused_limits += unused_limit - contribution.unused_limits
        totals.open_count += open_count - contribution.open_count
        contribution.in_flight = in_flight
        contribution.limits = limit
        contribution.unused_limits = unused_limit
        contribution.open_count = open_count

    def set_shedding(self, endpoint: EndpointState, is_shedding: bool) -> None:
        """Set whether the endpoint is sent nothing until it is reevaluated."""
        endpoint.overload.is_shedding = is_shedding
        if is_shedding:
            self.shedding[endpoint.name] = endpoint
        else:
            self.shedding.pop(endpoint.name, None)
        self.update_totals(endpoint)

    def count_attempt(self, endpoint: EndpointState, in_flight: int, opened: int) -> None:
        """Add to the counts of the endpoint's attempts in flight and of its open connections."""
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

    def add_endpoint(self, entry: events.Endpoint) -> EndpointState:
        """Add an endpoint with a rounding offset of 0. Return its state."""
        endpoint = EndpointState(
            entry.name,
            crc32(entry.name.encode()),
            entry.zone,
            entry.cell,
            entry.kind,
            entry.state,
            entry.started_at_ms or None,
            0.0,
            EndpointConnections(self._initial_concurrency_limit),
        )
        self.endpoints[entry.name] = endpoint
        return endpoint

    def adopt(self, event: events.ConnectionAdopted, request_class: RequestClass) -> RequestState:
        """Count a connection that was established before this balancer started, and return its state."""
        endpoint = self.endpoints.get(event.endpoint)
        if endpoint is None:
            endpoint = self.add_endpoint(events.Endpoint(event.endpoint, EndpointStatus.REMOVED))
        request = RequestState.from_adopted(event, request_class, endpoint, self.now_ms)
        endpoint.connections.established[event.id] = request
        endpoint.connections.is_untried = False
        self.count_attempt(endpoint, 0, 1)
        self.count_connection(request, 1)
        return request

    def apply_list(self, event: events.EndpointListEvent) -> None:
        """Apply a complete list, or changes to it."""
        if event.kind in (ListEventKind.FULL, ListEventKind.STALE):
            listed_names = {entry.name for entry in event.endpoints}
            for endpoint in self.endpoints.values():
                if endpoint.name not in listed_names:
                    endpoint.state = EndpointStatus.REMOVED
        if not self.first_listed_count and event.endpoints:
            ready_count = sum(entry.state == EndpointStatus.READY for entry in event.endpoints)
            self.first_listed_count = ready_count or len(event.endpoints)
        self.zones.update((entry.zone, None) for entry in event.endpoints)
        is_stale = event.kind == ListEventKind.STALE
        for entry in event.endpoints:
            self._apply_entry(entry, is_stale)
        self.rebuild()

    def _apply_entry(self, entry: events.Endpoint, is_stale: bool) -> None:
        age_ms = self.now_ms - entry.started_at_ms
        endpoint = self.endpoints.get(entry.name)
        if endpoint is None:
            endpoint = self.add_endpoint(entry)
            endpoint.rounding_offset = self.slow_start.rounding_offset(endpoint.name_hash)
            if is_stale:  # a restarted relay had tried the endpoints that are not new
                endpoint.connections.is_untried = age_ms < self.settings.slow_start_ms
        elif entry.state != EndpointStatus.REMOVED:
            endpoint.zone = entry.zone
            endpoint.cell = entry.cell
            endpoint.kind = entry.kind
        endpoint.weights.nominal = (entry.weight if self._is_weighted else 1.0) * entry.factor
        endpoint.state = entry.state
        if entry.started_at_ms and entry.started_at_ms != endpoint.started_at_ms:
            endpoint.restart(entry.started_at_ms)
        warm_at_ms = entry.started_at_ms + self.settings.slow_start_ms
        if entry.started_at_ms and self.now_ms < warm_at_ms and not endpoint.slow_start:
            endpoint.slow_start = SlowStartState(age_ms, endpoint.rounding_offset)

    def rebuild(self) -> None:
        """Rebuild the lists and sums after a change of the endpoint list or of the ejected endpoints."""
        self._remove_unlisted()
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

    def _remove_unlisted(self) -> None:
        """Delete the endpoints that were removed from the list and hold no connection."""
        removed_status = EndpointStatus.REMOVED
        for name, endpoint in list(self.endpoints.items()):
            if endpoint.state == removed_status and not endpoint.connections.open_count:
                del self.endpoints[name]
                endpoint.ready = False
                self.update_totals(endpoint)
                self.shedding.pop(name, None)
