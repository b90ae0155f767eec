"""Tracks connections, migrations and connection set-ups from the balancer's events and actions."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from sageturn import decision
from sageturn.rebalance.connection_table import ConnectionLabels, ConnectionTable
from sageturn.rebalance.migration_counts import MigrationCount
from sageturn.rebalance.migration_history import MigrationHistory, MigrationRecord, hash_client_key
from sageturn.rebalance.migration_score import MigrationScore, is_useful_migration
from sageturn.rebalance.options import RebalanceOptions
from sageturn.rebalance.overload_detector import OverloadDetector

CONNECT_FAILURE_STATUSES = frozenset({decision.AttemptStatus.CONNECT_FAILED, decision.AttemptStatus.TIMEOUT})


@dataclass(slots=True)
class TrackedRequest:
    """Request whose client has no connection and no final response yet."""

    arrived_ms: float
    labels: ConnectionLabels
    client_hash: int  # hash of the client's key
    reports_migration: bool = False  # True if the client reports that it was migrated or disconnected


class EventTracker:
    """Planner's record of this relay's connections and migrations, with counters of their outcomes.

    ``utilization_ratios`` maps each endpoint to its utilization divided by the mean, as of the last tick; the
    planner sets it.
    """

    def __init__(self, settings: decision.Settings, options: RebalanceOptions) -> None:
        self.connections = ConnectionTable()
        self.history = MigrationHistory(options)
        self.overload_detector = OverloadDetector(1.0 / settings.relay_count)
        self.migration_score = MigrationScore()
        self.counts: Counter[str] = Counter()  # keyed by ``MigrationCount``
        self.utilization_ratios: dict[str, float] = {}
        self.migrating_request_ids: set[int] = set()  # requests whose clients were asked to reconnect
        self._options = options
        self._latency_objectives_ms = {
            request_class.name: request_class.latency_objective_ms for request_class in settings.classes
        }
        self._pending: dict[int, TrackedRequest] = {}

    def set_options(self, options: RebalanceOptions) -> None:
        """Apply new settings from the operator's file."""
        self._options = options
        self.history.options = options

    # ------------------------------------------------------------ the balancer's events and actions

    def on_event(self, now_ms: float, event: decision.Event) -> None:
        """Track an event that the balancer has handled.

        An adopted connection counts as old enough to be migrated.
        """
        match event:
            case decision.RequestArrived():
                self._on_request_arrived(now_ms, event)
            case decision.ConnectionAdopted():
                labels = ConnectionLabels(event.class_name, event.tenant, event.group)
                established_ms = now_ms - self._options.least_age_s * 1000.0
                self.adopt(now_ms, event.id, event.endpoint, labels, event.client, established_ms)
            case decision.ConnectionEstablished():
                self._on_connection_established(now_ms, event)
            case decision.AttemptEnded():
                self._on_attempt_ended(now_ms, event)
            case decision.MeasurementReported(kind=decision.MeasurementKind.LOAD):
                self.connections.set_load(event.id, event.value)
            case decision.EndpointListEvent():
                self.overload_detector.record_endpoint_list(event.kind == decision.ListEventKind.FAILED)

    def on_request_rejected(self, now_ms: float, request_id: int) -> None:
        """Track that the balancer has rejected or failed a request."""
        self._pending.pop(request_id, None)
        self.overload_detector.record_rejection(now_ms)

    def track_pending_request(
        self, now_ms: float, request_id: int, labels: ConnectionLabels, client_key: str
    ) -> None:
        """Start to track a request that has no connection and no final response yet."""
        self._pending[request_id] = TrackedRequest(now_ms, labels, hash_client_key(client_key))

    def adopt(
        self,
        now_ms: float,
        request_id: int,
        endpoint: str,
        labels: ConnectionLabels,
        client_key: str,
        established_ms: float,
    ) -> None:
        """Add a connection that was established before the planner, or the relay, was started."""
        established_ms = min(now_ms, established_ms)
        self.connections.add(established_ms, request_id, endpoint, labels, hash_client_key(client_key))

    def begin_migration(self, now_ms: float, request_id: int, by_planner: bool) -> None:
        """Track that a connection's client is asked to reconnect; an id without a connection is ignored."""
        if request_id not in self.connections:
            return
        client_hash = self.connections.client_hash_of(request_id)
        source_endpoint = self.connections.endpoint_of(request_id)
        self.history.record_migration(client_hash, source_endpoint, now_ms, by_planner)
        self.migrating_request_ids.add(request_id)

    def expire_in_flight(self, now_ms: float) -> None:
        """Count the migrated clients that have not reconnected in time. To be called once a tick."""
        self.history.prune(now_ms)
        missing = self.history.expire_in_flight(now_ms)
        self.counts[MigrationCount.NOT_RETURNED] += missing
        self.overload_detector.record_missing(now_ms, missing)

    # ------------------------------------------------------------ events by type

    def _on_request_arrived(self, now_ms: float, event: decision.RequestArrived) -> None:
        self.overload_detector.record_request(now_ms)
        labels = ConnectionLabels(event.class_name, event.tenant, event.group)
        self.track_pending_request(now_ms, event.id, labels, event.client)
        self._pending[event.id].reports_migration = event.is_reconnect

    def _on_connection_established(self, now_ms: float, event: decision.ConnectionEstablished) -> None:
        request = self._pending.pop(event.id, None)
        if request is None:
            return
        objective_ms = self._latency_objectives_ms.get(request.labels.class_name, float("inf"))
        is_slow = now_ms - request.arrived_ms > objective_ms
        self.overload_detector.record_established(now_ms, is_slow)
        self.connections.add(now_ms, event.id, event.endpoint, request.labels, request.client_hash)
        migration = self.history.record_return(request.client_hash)
        if migration is not None:
            self._on_client_returned(now_ms, migration, event.endpoint, is_slow)
        elif request.reports_migration:
            self.history.record_reported_migration(request.client_hash, now_ms)

    def _on_client_returned(
        self, now_ms: float, migration: MigrationRecord, endpoint: str, is_slow: bool
    ) -> None:
        self.overload_detector.record_return(now_ms)
        self.counts[MigrationCount.RETURNED] += 1
        if not migration.by_planner:
            return
        self.counts[MigrationCount.RETURNED_SLOWLY] += is_slow
        is_useful = is_useful_migration(migration.source_endpoint, endpoint, self.utilization_ratios)
        self.counts[MigrationCount.LANDED_WELL if is_useful else MigrationCount.LANDED_BADLY] += 1
        self.migration_score.record(is_useful)

    def _on_attempt_ended(self, now_ms: float, event: decision.AttemptEnded) -> None:
        if self.connections.remove(event.id):
            if event.status == decision.AttemptStatus.RESET:
                self.overload_detector.record_reset(now_ms)
        elif event.status in CONNECT_FAILURE_STATUSES:
            self.overload_detector.record_connect_failure(now_ms)
        self.migrating_request_ids.discard(event.id)
        if event.final:
            self._pending.pop(event.id, None)
