"""Relay in simulated time: the production balancer and planner, with clients that have no sockets."""

from __future__ import annotations

from collections.abc import Sequence

from sageturn import decision
from sageturn.config.settings import read_settings
from sageturn.core.endpoint_snapshot import snapshot_endpoints
from sageturn.lab.model import simulation_steps as steps
from sageturn.lab.model.fleet_spec import FleetSpec, relay_settings
from sageturn.lab.model.naive_planner import NaivePlanner
from sageturn.lab.model.planner_kind import PlannerKind
from sageturn.lab.model.policy import load_policy
from sageturn.lab.model.sampling import Client, ClientSampler
from sageturn.lab.model.simulated_clients import SimulatedClients
from sageturn.lab.model.simulation_steps import EndpointConditions, Instruction, StepResult
from sageturn.rebalance.options import RebalanceOptions
from sageturn.rebalance.plan import NO_PLAN, MigrationPlan
from sageturn.rebalance.planner import RebalancePlanner

PLANNER_TYPES = {PlannerKind.OFF: None, PlannerKind.NAIVE: NaivePlanner, PlannerKind.ON: RebalancePlanner}
PLANNER_INTERVAL_S = 1.0
PLANNER_MINUTE = 720  # minute of the day: noon, outside all quiet hours
# The balancer's seed combines the fleet's seed, the relay's number and whether it was restarted.
SEED_STRIDE = 100003
RESTART_SEED_OFFSET = 7919


class SimulatedRelay:
    """Simulated relay; ``simulation.RelayShard`` steps it.

    ``policy`` is the text of a decision module; empty for that of this revision.
    """

    def __init__(
        self, spec: FleetSpec, number: int, planner: PlannerKind, options: RebalanceOptions, policy: str = ""
    ) -> None:
        self.spec = spec
        self.number = number
        self.settings = read_settings({**relay_settings(spec, number), "discovery": "push"})
        self.sampler = ClientSampler(spec, number + 1)
        self._balancer_type = load_policy(policy)
        self._balancer = self._balancer_type(self.settings, spec.seed * SEED_STRIDE + number)
        planner_type = PLANNER_TYPES[planner]
        self._planner = planner_type(self.settings, options, number) if planner_type is not None else None
        self._plan: MigrationPlan = NO_PLAN
        self._clients = SimulatedClients(
            spec, self.sampler, self.settings.connect_timeout_ms, self._handle_event
        )
        self._next_plan_s = 0.0
        self._next_arrival_s = self.sampler.interarrival_s(spec.arrivals_per_s / spec.relays)
        self._arrival_rate = steps.SetArrivalRate(1.0, 1.0)
        self._endpoints: dict[str, decision.Endpoint] = {}
        self._discovery_failed = False
        self._killed = False

    # ------------------------------------------------------------ interface of the simulation

    def update_endpoints(
        self,
        endpoints: Sequence[decision.Endpoint],
        kind: decision.ListEventKind = decision.ListEventKind.FULL,
    ) -> None:
        """Handle a full endpoint list or, with the kind CHANGES, the changed entries."""
        self._endpoints.update({endpoint.name: endpoint for endpoint in endpoints})
        if not self._discovery_failed:
            self._handle_event(decision.EndpointListEvent(kind, list(endpoints)))

    def adopt_connection(self, client: Client, endpoint: str) -> None:
        """Add a connection that was established before the relay started."""
        self._clients.adopt_connection(client, endpoint)

    def schedule_request(self, due_s: float, client: Client) -> None:
        """Schedule the request of a client that was connected before, through any relay."""
        self._clients.events.schedule(due_s, self._clients.request_connection, client)

    def step(self, until_s: float, conditions: dict[str, EndpointConditions]) -> StepResult:
        """Run all events that are due before ``until_s``. Return the result of the step."""
        clients = self._clients
        clients.conditions = conditions
        if self._killed:
            self._next_arrival_s = until_s
            self._next_plan_s = until_s
        while not self._killed:
            next_s = min(clients.events.next_due_s(), self._next_arrival_s, self._next_plan_s)
            if next_s >= until_s:
                break
            clients.now_s = max(clients.now_s, next_s)
            if next_s == self._next_plan_s:
                self._next_plan_s += PLANNER_INTERVAL_S
                self._run_planner()
            elif next_s == self._next_arrival_s:
                self._on_arrival()
            else:
                clients.events.run_next()
        clients.now_s = until_s
        result = clients.result
        clients.result = StepResult()
        return result

    def planner_state(self) -> dict[str, object]:
        """Return the planner's state in the form that a relay publishes; empty without a planner."""
        return self._planner.encode_state(self._plan) if self._planner is not None else {}

    # ------------------------------------------------------------ instructions

    def execute_instruction(self, instruction: Instruction) -> None:
        """Execute one of the instructions of a step, before the step is run."""
        match instruction:
            case steps.SetArrivalRate():
                self._arrival_rate = instruction
            case steps.UpdateEndpointList(endpoints):
                self.update_endpoints(endpoints, decision.ListEventKind.CHANGES)
            case steps.FailDiscovery():
                self._discovery_failed = True
                self._handle_event(decision.EndpointListEvent(decision.ListEventKind.FAILED, []))
            case steps.RestoreDiscovery():
                self._restore_discovery()
            case steps.ResetConnections(endpoint_names):
                for endpoint in endpoint_names:
                    self._clients.reset_connections(endpoint)
            case steps.DrainConnections(endpoint_names, duration_s):
                self._clients.schedule_drain(endpoint_names, duration_s)
            case steps.DropClients(ratio, duration_s):
                self._clients.schedule_drops(ratio, duration_s)
            case steps.KillRelays(relays):
                if self.number in relays:
                    self._clients.reset_all()
                    self._killed = True
            case steps.RestartRelays(endpoints):
                if self._killed:
                    self._restart(endpoints)

    def _restore_discovery(self) -> None:
        self._discovery_failed = False
        present = [
            endpoint
            for endpoint in self._endpoints.values()
            if endpoint.state != decision.EndpointStatus.REMOVED
        ]
        self._handle_event(decision.EndpointListEvent(decision.ListEventKind.FULL, present))

    def _restart(self, endpoints: Sequence[decision.Endpoint]) -> None:
        """Start the relay again under the same name, without its previous state."""
        self._killed = False
        self._discovery_failed = False
        seed = self.spec.seed * SEED_STRIDE + self.number + RESTART_SEED_OFFSET
        self._balancer = self._balancer_type(self.settings, seed)
        if self._planner is not None:
            self._planner = type(self._planner)(self.settings, self._planner.options, self.number)
        self._next_plan_s = float(int(self._clients.now_s) + 1)
        self._next_arrival_s = self._clients.now_s
        self.update_endpoints(endpoints)

    # ------------------------------------------------------------ events

    def _handle_event(self, event: decision.Event) -> None:
        now_ms = self._clients.now_s * 1000.0
        if self._planner is not None:
            self._planner.before_event(now_ms, event)
        actions = self._balancer.handle(now_ms, event)
        if self._planner is not None:
            self._planner.after_event(now_ms, event, actions)
        for action in actions:
            self._clients.execute_action(action)

    def _on_arrival(self) -> None:
        """Sample a new client and the time of the next arrival; the client requests a connection."""
        usual_per_s = self.spec.arrivals_per_s / self.spec.relays * self._arrival_rate.factor
        largest_tenant, share = next(iter(self.spec.tenants.items()))
        extra = share * (self._arrival_rate.largest_tenant_factor - 1.0)
        interarrival_s = self.sampler.interarrival_s(usual_per_s * (1.0 + extra))
        self._next_arrival_s = self._clients.now_s + interarrival_s
        client = self.sampler.client()
        if extra > 0 and self.sampler.uniform(0.0, 1.0 + extra) < extra:
            client.tenant = largest_tenant
        self._clients.result.requested_changes.append((client.class_index, client.tenant, 1))
        self._clients.request_connection(client)

    def _run_planner(self) -> None:
        if self._planner is None:
            return
        now_ms = self._clients.now_s * 1000.0
        endpoints = snapshot_endpoints(self._balancer, now_ms)
        self._plan = self._planner.tick(now_ms, endpoints, PLANNER_MINUTE)
        if self._plan.migrations:
            self._clients.migrate([migration.request_id for migration in self._plan.migrations])
