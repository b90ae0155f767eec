"""One relay in simulated time: the real balancer and the real planner, and clients without sockets."""

from __future__ import annotations

from collections.abc import Sequence

from sageturn import decision
from sageturn.config.settings import read_settings
from sageturn.core.endpoint_snapshot import snapshot_endpoints
from sageturn.lab.model import simulation_steps as steps
from sageturn.lab.model.event_queue import EventQueue
from sageturn.lab.model.fleet_spec import FleetSpec, relay_settings
from sageturn.lab.model.naive_planner import NaivePlanner
from sageturn.lab.model.policy import load_policy
from sageturn.lab.model.sampling import Client, ClientSampler
from sageturn.lab.model.simulated_connections import (
    AttemptOutcome,
    EstablishedConnection,
    PendingRequest,
    count_group_migrations,
)
from sageturn.lab.model.simulation_steps import EndpointConditions, Instruction, StepResult
from sageturn.rebalance.options import RebalanceOptions
from sageturn.rebalance.plan import NO_PLAN, MigrationPlan
from sageturn.rebalance.planner import RebalancePlanner

PLANNER_KINDS = ("off", "naive", "on")
PLANNERS = {"off": None, "naive": NaivePlanner, "on": RebalancePlanner}
REJECTION_MS = 4.0  # from a request for a connection to the host's rejection
SETUP_TIME_FACTORS = (0.6, 1.8)  # range of a set-up's time over the host's expected one
PLANNER_INTERVAL_S = 1.0
PLANNER_MINUTE = 720  # noon: outside all quiet hours
# The balancer's seed is made of the fleet's seed, the relay's number and whether it was restarted.
SEED_STRIDE = 100003
RESTART_SEED_OFFSET = 7919
CHECK_IN_CLASS = "guest-checkin"


class SimulatedRelay:
    """A relay; ``simulation.RelayShard`` steps it.

    ``planner`` is one of ``PLANNER_KINDS``. ``policy`` is the text of a decision module; empty for that of
    this revision.
    """

    def __init__(
        self, spec: FleetSpec, number: int, planner: str, options: RebalanceOptions, policy: str = ""
    ) -> None:
        self.spec = spec
        self.number = number
        self.settings = read_settings({**relay_settings(spec, number), "discovery": "push"})
        self.sampler = ClientSampler(spec, number + 1)
        self._policy = load_policy(policy)
        self._balancer = self._policy(self.settings, spec.seed * SEED_STRIDE + number)
        planner_type = PLANNERS[planner]
        self._planner = planner_type(self.settings, options, number) if planner_type is not None else None
        self._plan: MigrationPlan = NO_PLAN
        self._now_s = 0.0
        self._events = EventQueue()
        self._next_plan_s = 0.0
        self._next_arrival_s = self.sampler.interarrival_s(spec.arrivals_per_s / spec.relays)
        self._last_request_id = 0
        self._pending: dict[int, PendingRequest] = {}
        self._established: dict[int, EstablishedConnection] = {}
        self._conditions: dict[str, EndpointConditions] = {}
        self._result = StepResult()
        self._arrival_rate = steps.SetArrivalRate(1.0, 1.0)
        self._endpoints: dict[str, decision.Endpoint] = {}
        self._discovery_failed = False
        self._killed = False

    # ------------------------------------------------------------ interface of the simulation

    def update_endpoints(self, endpoints: Sequence[decision.Endpoint], kind: str = "full") -> None:
        """Take in a full endpoint list, or with the kind "changes" the entries that changed."""
        self._endpoints.update({endpoint.name: endpoint for endpoint in endpoints})
        if not self._discovery_failed:
            self._handle(decision.EndpointListEvent(kind, list(endpoints)))

    def adopt_connection(self, client: Client, host: str) -> None:
        """Add a connection that was established before the relay started."""
        self._last_request_id += 1
        class_spec = self.spec.classes[client.class_index]
        self._handle(
            decision.ConnectionAdopted(
                self._last_request_id, class_spec.name, client.tenant, host, client.group, client=client.key
            )
        )
        self._result.wanted_changes.append((client.class_index, client.tenant, 1))
        self._establish(self._last_request_id, client, host, 0)

    def schedule_request(self, due_s: float, client: Client) -> None:
        """Let a client that was connected before, at some relay, ask again at this one."""
        self._events.schedule(due_s, self._request_connection, client)

    def step(self, until_s: float, conditions: dict[str, EndpointConditions]) -> StepResult:
        """Run all that is due before ``until_s``."""
        self._conditions = conditions
        if self._killed:
            self._next_arrival_s = until_s
            self._next_plan_s = until_s
        while not self._killed:
            next_s = min(self._events.next_due_s(), self._next_arrival_s, self._next_plan_s)
            if next_s >= until_s:
                break
            self._now_s = max(self._now_s, next_s)
            if next_s == self._next_plan_s:
                self._next_plan_s += PLANNER_INTERVAL_S
                self._run_planner()
            elif next_s == self._next_arrival_s:
                self._on_arrival()
            else:
                self._events.run_next()
        self._now_s = until_s
        result = self._result
        self._result = StepResult()
        return result

    def planner_state(self) -> dict[str, object]:
        """The planner's state as a relay publishes it; empty without a planner."""
        return self._planner.encode_state(self._plan) if self._planner is not None else {}

    # ------------------------------------------------------------ instructions

    def follow_instruction(self, instruction: Instruction) -> None:
        """Take in one of the instructions of a step, before the step is run."""
        match instruction:
            case steps.SetArrivalRate():
                self._arrival_rate = instruction
            case steps.UpdateEndpointList(endpoints):
                self.update_endpoints(endpoints, "changes")
            case steps.FailDiscovery():
                self._discovery_failed = True
                self._handle(decision.EndpointListEvent("failed", []))
            case steps.RestoreDiscovery():
                self._restore_discovery()
            case steps.ResetConnections(hosts):
                for host in hosts:
                    self._reset_connections(host)
            case steps.DrainConnections(hosts, duration_s):
                self._schedule_drain(hosts, duration_s)
            case steps.DropClients(ratio, duration_s):
                self._schedule_drops(ratio, duration_s)
            case steps.KillRelays(relays):
                if self.number in relays:
                    self._kill()
            case steps.RestartRelays(endpoints):
                if self._killed:
                    self._restart(endpoints)

    def _restore_discovery(self) -> None:
        self._discovery_failed = False
        present = [endpoint for endpoint in self._endpoints.values() if endpoint.state != "gone"]
        self._handle(decision.EndpointListEvent("full", present))

    def _reset_connections(self, host: str) -> None:
        request_ids = [
            request_id for request_id, established in self._established.items() if established.host == host
        ]
        for request_id in request_ids:
            client = self._close(request_id, "reset")
            self._result.counts["cut"] += 1
            self._reconnect(client, 0.0)

    def _schedule_drain(self, hosts: Sequence[str], duration_s: float) -> None:
        for request_id, established in self._established.items():
            if established.host in hosts:
                due_s = self._now_s + self.sampler.uniform(0.0, duration_s)
                self._events.schedule(due_s, self._on_drained, request_id)

    def _schedule_drops(self, ratio: float, duration_s: float) -> None:
        for request_id in self._established:
            if self.sampler.uniform(0.0, 1.0) < ratio:
                due_s = self._now_s + self.sampler.uniform(0.0, duration_s)
                self._events.schedule(due_s, self._on_dropped, request_id)

    def _kill(self) -> None:
        """Reset all connections; the clients connect again at another relay at once."""
        for established in self._established.values():
            client = established.client
            client.lifetime_s -= self._now_s - established.since_s
            self._result.disconnected.append((established.host, client))
            self._reconnect(client, 0.0)
        for pending in self._pending.values():
            self._reconnect(pending.client, 0.0)
        for client in self._events.pending_arguments(self._request_connection):
            self._reconnect(client, 0.0)
        self._result.counts["cut"] += len(self._established)
        self._established.clear()
        self._pending.clear()
        self._events.clear()
        self._killed = True

    def _restart(self, endpoints: Sequence[decision.Endpoint]) -> None:
        """Start without any state, under the same name."""
        self._killed = False
        self._discovery_failed = False
        seed = self.spec.seed * SEED_STRIDE + self.number + RESTART_SEED_OFFSET
        self._balancer = self._policy(self.settings, seed)
        if self._planner is not None:
            self._planner = type(self._planner)(self.settings, self._planner.options, self.number)
        self._next_plan_s = float(int(self._now_s) + 1)
        self._next_arrival_s = self._now_s
        self.update_endpoints(endpoints)

    # ------------------------------------------------------------ the balancer

    def _handle(self, event: decision.Event) -> None:
        now_ms = self._now_s * 1000.0
        if self._planner is not None:
            self._planner.before_event(now_ms, event)
        actions = self._balancer.handle(now_ms, event)
        if self._planner is not None:
            self._planner.after_event(now_ms, event, actions)
        for action in actions:
            self._follow_action(action)

    def _follow_action(self, action: decision.Action) -> None:
        match action:
            case decision.PlaceRequest(request_id, host, timeout_ms):
                self._start_attempt(request_id, host, timeout_ms)
            case decision.RejectRequest(request_id, retry_after_ms):
                client = self._pending.pop(request_id).client
                self._result.counts["refused"] += 1
                self._reconnect(client, retry_after_ms / 1000.0)
            case decision.FailRequest(request_id):
                self._reconnect(self._pending.pop(request_id).client, 0.0)
            case decision.MigrateConnection(request_id):
                if request_id in self._established:
                    self._result.counts["relieved"] += 1
                    self._migrate(request_id)

    # ------------------------------------------------------------ a client's connection

    def _on_arrival(self) -> None:
        """Sample a new client, and when the next one arrives."""
        usual_per_s = self.spec.arrivals_per_s / self.spec.relays * self._arrival_rate.factor
        largest_tenant, share = next(iter(self.spec.tenants.items()))
        extra = share * (self._arrival_rate.largest_tenant_factor - 1.0)
        self._next_arrival_s = self._now_s + self.sampler.interarrival_s(usual_per_s * (1.0 + extra))
        client = self.sampler.client()
        if extra > 0 and self.sampler.uniform(0.0, 1.0 + extra) < extra:
            client.tenant = largest_tenant
        self._result.wanted_changes.append((client.class_index, client.tenant, 1))
        self._request_connection(client)

    def _request_connection(self, client: Client) -> None:
        self._last_request_id += 1
        if not client.waiting_since_s:
            client.waiting_since_s = self._now_s
        class_spec = self.spec.classes[client.class_index]
        self._pending[self._last_request_id] = PendingRequest(client)
        self._result.counts["asked"] += 1
        self._handle(
            decision.RequestArrived(
                self._last_request_id,
                class_spec.name,
                client.tenant,
                self._now_s * 1000.0 + class_spec.client_timeout_ms,
                client.group,
                client=client.key,
                returned=client.attempts > 0,
            )
        )

    def _start_attempt(self, request_id: int, host: str, timeout_ms: float) -> None:
        pending = self._pending[request_id]
        attempt = pending.attempt
        pending.attempt += 1
        count, load = self._result.intake.get(host, (0, 0.0))
        self._result.intake[host] = count + 1, load + pending.client.load
        failure, duration_ms = self._sample_attempt(self._conditions[host], timeout_ms)
        outcome = AttemptOutcome(request_id, attempt, host, failure, duration_ms)
        self._events.schedule(self._now_s + duration_ms / 1000.0, self._on_attempt_ended, outcome)

    def _sample_attempt(self, conditions: EndpointConditions, timeout_ms: float) -> tuple[str, float]:
        """The failure, empty for success, and the duration in milliseconds of an attempt at a host."""
        if conditions.silent:
            return "connect_failed", self.settings.connect_timeout_ms
        if not conditions.running:
            return "connect_failed", REJECTION_MS
        if conditions.full:
            return "full", REJECTION_MS
        setup_ms = conditions.setup_ms * self.sampler.uniform(*SETUP_TIME_FACTORS)
        if setup_ms > timeout_ms:
            return "timeout", timeout_ms
        return "", setup_ms

    def _on_attempt_ended(self, outcome: AttemptOutcome) -> None:
        pending = self._pending.get(outcome.request_id)
        if pending is None:
            return
        request_id, attempt, host = outcome.request_id, outcome.attempt, outcome.host
        if outcome.failure:
            self._handle(decision.AttemptEnded(request_id, attempt, host, outcome.failure, False))
            return
        client = self._pending.pop(request_id).client
        self._handle(decision.ConnectionEstablished(request_id, attempt, host, outcome.duration_ms))
        waited_ms = (self._now_s - client.waiting_since_s) * 1000.0
        self._result.setups.append((client.class_index, waited_ms))
        client.waiting_since_s = 0.0
        client.attempts = 0
        self._establish(request_id, client, host, attempt)

    def _establish(self, request_id: int, client: Client, host: str, attempt: int) -> None:
        self._established[request_id] = EstablishedConnection(client, host, self._now_s, attempt)
        self._result.connected.append((host, client))
        self._events.schedule(self._now_s + client.lifetime_s, self._on_finished, request_id)
        load_ms = client.load * self.spec.work_us_per_load / 1000.0
        self._handle(decision.MeasurementReported(request_id, attempt, host, "load", load_ms))

    def _close(self, request_id: int, status: str) -> Client:
        established = self._established.pop(request_id)
        client = established.client
        self._result.disconnected.append((established.host, client))
        client.lifetime_s -= self._now_s - established.since_s
        self._handle(decision.AttemptEnded(request_id, established.attempt, established.host, status, True))
        return client

    def _reconnect(self, client: Client, retry_after_s: float) -> None:
        client.attempts += 1
        delay_s = max(retry_after_s, self.sampler.reconnect_delay_s())
        self._result.reconnects.append((self._now_s + delay_s, client))

    def _on_finished(self, request_id: int) -> None:
        if request_id in self._established:
            client = self._close(request_id, "ok")
            self._result.wanted_changes.append((client.class_index, client.tenant, -1))

    def _on_drained(self, request_id: int) -> None:
        if request_id in self._established:
            self._reconnect(self._close(request_id, "cancelled"), 0.0)

    def _on_dropped(self, request_id: int) -> None:
        if request_id in self._established:
            self._result.counts["dropped"] += 1
            self._reconnect(self._close(request_id, "cancelled"), 0.0)

    # ------------------------------------------------------------ rebalancing

    def _run_planner(self) -> None:
        if self._planner is None:
            return
        now_ms = self._now_s * 1000.0
        endpoints = snapshot_endpoints(self._balancer, now_ms)
        self._plan = self._planner.tick(now_ms, endpoints, PLANNER_MINUTE)
        if not self._plan.migrations:
            return
        migrated = {migration.request_id for migration in self._plan.migrations} & self._established.keys()
        groups = count_group_migrations(self._established, migrated)
        self._result.counts["groups_moved"] += groups.migrated
        self._result.counts["groups_split"] += groups.split
        for request_id in sorted(migrated):
            client = self._established[request_id].client
            self._result.counts["moved"] += 1
            if self.spec.classes[client.class_index].name == CHECK_IN_CLASS:
                self._result.counts["checkin_moved"] += 1
            if client.migrations:
                self._result.counts["moved_twice"] += 1
            self._migrate(request_id)

    def _migrate(self, request_id: int) -> None:
        client = self._close(request_id, "cancelled")
        client.migrations += 1
        self._reconnect(client, 0.0)
