"""Clients of a simulated relay: their requests, attempts and connections, without sockets."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from sageturn import decision
from sageturn.lab.model.client_event import ClientEvent
from sageturn.lab.model.event_queue import EventQueue
from sageturn.lab.model.fleet_spec import FleetSpec
from sageturn.lab.model.sampling import Client, ClientSampler
from sageturn.lab.model.simulated_connections import (
    AttemptOutcome,
    AttemptSample,
    EstablishedConnection,
    PendingRequest,
    count_group_migrations,
)
from sageturn.lab.model.simulation_steps import EndpointConditions, StepResult

REJECTION_MS = 4.0  # time between a connection request and the endpoint's rejection
SETUP_TIME_FACTORS = (0.6, 1.8)  # range of a set-up time over the expected one
CHECK_IN_CLASS = "guest-checkin"


class SimulatedClients:
    """Clients of one relay, which execute the balancer's actions and post the resulting events to it.

    ``now_s``, ``conditions`` and ``result`` belong to the current step; the relay sets them.
    """

    def __init__(
        self,
        spec: FleetSpec,
        sampler: ClientSampler,
        connect_timeout_ms: float,
        post_event: Callable[[decision.Event], None],
    ) -> None:
        self._spec = spec
        self._sampler = sampler
        self._connect_timeout_ms = connect_timeout_ms
        self._post_event = post_event
        self.events = EventQueue()
        self.now_s = 0.0
        self.conditions: dict[str, EndpointConditions] = {}
        self.result = StepResult()
        self._last_request_id = 0
        self._pending: dict[int, PendingRequest] = {}
        self._established: dict[int, EstablishedConnection] = {}

    # ------------------------------------------------------------ requests

    def adopt_connection(self, client: Client, endpoint: str) -> None:
        """Add a connection that was established before the relay started."""
        self._last_request_id += 1
        class_spec = self._spec.classes[client.class_index]
        self._post_event(
            decision.ConnectionAdopted(
                self._last_request_id,
                class_spec.name,
                client.tenant,
                endpoint,
                client.group,
                client=client.key,
            )
        )
        self.result.requested_changes.append((client.class_index, client.tenant, 1))
        self._establish(self._last_request_id, client, endpoint, 0)

    def request_connection(self, client: Client) -> None:
        """Post a client's request for a connection."""
        self._last_request_id += 1
        if client.waiting_since_s is None:
            client.waiting_since_s = self.now_s
        class_spec = self._spec.classes[client.class_index]
        self._pending[self._last_request_id] = PendingRequest(client)
        self.result.counts[ClientEvent.REQUESTED] += 1
        self._post_event(
            decision.RequestArrived(
                self._last_request_id,
                class_spec.name,
                client.tenant,
                self.now_s * 1000.0 + class_spec.client_timeout_ms,
                client.group,
                client=client.key,
                is_reconnect=client.attempts > 0,
            )
        )

    def execute_action(self, action: decision.Action) -> None:
        """Execute an action of the balancer."""
        match action:
            case decision.PlaceRequest(request_id, endpoint, timeout_ms):
                self._start_attempt(request_id, endpoint, timeout_ms)
            case decision.RejectRequest(request_id, retry_after_ms):
                client = self._pending.pop(request_id).client
                self.result.counts[ClientEvent.REJECTED] += 1
                self._reconnect(client, retry_after_ms / 1000.0)
            case decision.FailRequest(request_id):
                self._reconnect(self._pending.pop(request_id).client, 0.0)
            case decision.MigrateConnection(request_id):
                if request_id in self._established:
                    self.result.counts[ClientEvent.MIGRATED_BY_BALANCER] += 1
                    self._migrate(request_id)

    # ------------------------------------------------------------ attempts

    def _start_attempt(self, request_id: int, endpoint: str, timeout_ms: float) -> None:
        pending = self._pending[request_id]
        attempt = pending.attempt
        pending.attempt += 1
        count, load = self.result.intake.get(endpoint, (0, 0.0))
        self.result.intake[endpoint] = count + 1, load + pending.client.load
        sample = self._sample_attempt(self.conditions[endpoint], timeout_ms)
        outcome = AttemptOutcome(request_id, attempt, endpoint, sample)
        self.events.schedule(self.now_s + sample.duration_ms / 1000.0, self._on_attempt_ended, outcome)

    def _sample_attempt(self, conditions: EndpointConditions, timeout_ms: float) -> AttemptSample:
        if conditions.unresponsive:
            return AttemptSample(decision.AttemptStatus.CONNECT_FAILED, self._connect_timeout_ms)
        if not conditions.running:
            return AttemptSample(decision.AttemptStatus.CONNECT_FAILED, REJECTION_MS)
        if conditions.full:
            return AttemptSample(decision.AttemptStatus.FULL, REJECTION_MS)
        setup_ms = conditions.setup_ms * self._sampler.uniform(*SETUP_TIME_FACTORS)
        if setup_ms > timeout_ms:
            return AttemptSample(decision.AttemptStatus.TIMEOUT, timeout_ms)
        return AttemptSample(None, setup_ms)

    def _on_attempt_ended(self, outcome: AttemptOutcome) -> None:
        pending = self._pending.get(outcome.request_id)
        if pending is None:
            return
        request_id, attempt, endpoint = outcome.request_id, outcome.attempt, outcome.endpoint
        failure = outcome.sample.failure
        if failure is not None:
            self._post_event(decision.AttemptEnded(request_id, attempt, endpoint, failure, final=False))
            return
        client = self._pending.pop(request_id).client
        setup_ms = outcome.sample.duration_ms
        self._post_event(decision.ConnectionEstablished(request_id, attempt, endpoint, setup_ms))
        assert client.waiting_since_s is not None
        waited_ms = (self.now_s - client.waiting_since_s) * 1000.0
        self.result.setups.append((client.class_index, waited_ms))
        client.waiting_since_s = None
        client.attempts = 0
        self._establish(request_id, client, endpoint, attempt)

    # ------------------------------------------------------------ connections

    def _establish(self, request_id: int, client: Client, endpoint: str, attempt: int) -> None:
        self._established[request_id] = EstablishedConnection(client, endpoint, self.now_s, attempt)
        self.result.connected.append((endpoint, client))
        self.events.schedule(self.now_s + client.lifetime_s, self._on_finished, request_id)
        load_ms = client.load * self._spec.work_us_per_load / 1000.0
        self._post_event(
            decision.MeasurementReported(
                request_id, attempt, endpoint, decision.MeasurementKind.LOAD, load_ms
            )
        )

    def _close(self, request_id: int, status: decision.AttemptStatus) -> Client:
        established = self._established.pop(request_id)
        client = established.client
        self.result.disconnected.append((established.endpoint, client))
        client.lifetime_s -= self.now_s - established.since_s
        self._post_event(
            decision.AttemptEnded(request_id, established.attempt, established.endpoint, status, final=True)
        )
        return client

    def _reconnect(self, client: Client, retry_after_s: float) -> None:
        client.attempts += 1
        delay_s = max(retry_after_s, self._sampler.reconnect_delay_s())
        self.result.reconnects.append((self.now_s + delay_s, client))

    def _on_finished(self, request_id: int) -> None:
        if request_id in self._established:
            client = self._close(request_id, decision.AttemptStatus.OK)
            self.result.requested_changes.append((client.class_index, client.tenant, -1))

    def _on_drained(self, request_id: int) -> None:
        if request_id in self._established:
            self._reconnect(self._close(request_id, decision.AttemptStatus.CANCELLED), 0.0)

    def _on_dropped(self, request_id: int) -> None:
        if request_id in self._established:
            self.result.counts[ClientEvent.DROPPED] += 1
            self._reconnect(self._close(request_id, decision.AttemptStatus.CANCELLED), 0.0)

    # ------------------------------------------------------------ faults

    def reset_connections(self, endpoint: str) -> None:
        """Reset all connections of an endpoint; their clients reconnect."""
        request_ids = [
            request_id
            for request_id, established in self._established.items()
            if established.endpoint == endpoint
        ]
        for request_id in request_ids:
            client = self._close(request_id, decision.AttemptStatus.RESET)
            self.result.counts[ClientEvent.CUT] += 1
            self._reconnect(client, 0.0)

    def schedule_drain(self, endpoints: Sequence[str], duration_s: float) -> None:
        """Schedule reconnects of the endpoints' clients, each at a random time within ``duration_s``."""
        for request_id, established in self._established.items():
            if established.endpoint in endpoints:
                due_s = self.now_s + self._sampler.uniform(0.0, duration_s)
                self.events.schedule(due_s, self._on_drained, request_id)

    def schedule_drops(self, ratio: float, duration_s: float) -> None:
        """Schedule reconnects of a random fraction of the clients, which drop within ``duration_s``."""
        for request_id in self._established:
            if self._sampler.uniform(0.0, 1.0) < ratio:
                due_s = self.now_s + self._sampler.uniform(0.0, duration_s)
                self.events.schedule(due_s, self._on_dropped, request_id)

    def reset_all(self) -> None:
        """Reset all connections and requests; the clients reconnect at once through ``ZoneFrontend``."""
        for established in self._established.values():
            client = established.client
            client.lifetime_s -= self.now_s - established.since_s
            self.result.disconnected.append((established.endpoint, client))
            self._reconnect(client, 0.0)
        for pending in self._pending.values():
            self._reconnect(pending.client, 0.0)
        for client in self.events.pending_arguments(self.request_connection):
            self._reconnect(client, 0.0)
        self.result.counts[ClientEvent.CUT] += len(self._established)
        self._established.clear()
        self._pending.clear()
        self.events.clear()

    # ------------------------------------------------------------ migrations

    def migrate(self, request_ids: Sequence[int]) -> None:
        """Migrate these connections of a rebalancing plan: their clients reconnect."""
        migrating = set(request_ids) & self._established.keys()
        groups = count_group_migrations(self._established, migrating)
        self.result.counts[ClientEvent.GROUPS_MIGRATED] += groups.migrated
        self.result.counts[ClientEvent.GROUPS_SPLIT] += groups.split
        for request_id in sorted(migrating):
            client = self._established[request_id].client
            self.result.counts[ClientEvent.MIGRATED] += 1
            if self._spec.classes[client.class_index].name == CHECK_IN_CLASS:
                self.result.counts[ClientEvent.CHECK_IN_MIGRATED] += 1
            if client.migrations:
                self.result.counts[ClientEvent.MIGRATED_AGAIN] += 1
            self._migrate(request_id)

    def _migrate(self, request_id: int) -> None:
        client = self._close(request_id, decision.AttemptStatus.CANCELLED)
        client.migrations += 1
        self._reconnect(client, 0.0)
