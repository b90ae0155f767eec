"""Environment of the relays in a simulated run: endpoints, session store, endpoint list, and faults.

The environment makes the input of each step for the relays, and merges their results into the state of the
endpoints and the result of the run.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from math import exp

import numpy as np
from numpy.typing import NDArray

from sageturn.frontends.platform.timing import MAX_CLIENT_SILENCE_S, MIGRATION_MARGIN_S
from sageturn.lab.faults.fault import FaultKind, ScheduledFault
from sageturn.lab.faults.fault_injection import FaultInjector
from sageturn.lab.model import simulation_steps as steps
from sageturn.lab.model.client_event import ClientEvent, late_setup_key
from sageturn.lab.model.endpoint_model import EndpointModel
from sageturn.lab.model.fleet_spec import ClassSpec, FleetSpec
from sageturn.lab.model.sampling import ClientSampler
from sageturn.lab.model.session_store import SessionStoreModel
from sageturn.lab.model.simulated_endpoints import SimulatedEndpoints
from sageturn.lab.model.simulation_result import (
    MAX_SETUP_MS,
    MIN_SETUP_MS,
    SimulationResult,
    make_setup_histogram,
)
from sageturn.lab.model.simulation_steps import Instruction, Reconnects, StepInput, StepResult
from sageturn.lab.model.zone_frontend import ZoneFrontend

IDLE_MESSAGE_MS = 6.0  # service time of a message at an idle endpoint of size 1
# A relay migrates the clients of an endpoint that has not answered for this time.
UNRESPONSIVE_TIMEOUT_S = MAX_CLIENT_SILENCE_S - MIGRATION_MARGIN_S
UTILIZATION_SAMPLE_INTERVAL_S = 5


def answered_in_time_ratios(
    classes: Sequence[ClassSpec], endpoint: EndpointModel, now_s: float
) -> NDArray[np.float64]:
    """Return the ratios of messages that an endpoint answers within the objective, as a column by class.

    The endpoint is modelled as an M/M/1 queue; its backlog delays every message.
    """
    utilization = endpoint.utilization(now_s)
    service_ms = IDLE_MESSAGE_MS * endpoint.slowdown / endpoint.size
    ratios = []
    for class_spec in classes:
        remaining_ms = class_spec.message_objective_ms - endpoint.backlog_s * 1000.0
        if remaining_ms > 0:
            ratios.append(1.0 - exp(-max(0.0, 1.0 - utilization) * remaining_ms / service_ms))
        else:
            ratios.append(0.0)
    return np.array(ratios)[:, None]


class SimulatedEnvironment:
    """Environment that the relays of a simulated fleet share; ``step_s`` is the length of a step."""

    def __init__(self, spec: FleetSpec, faults: Iterable[ScheduledFault], step_s: float) -> None:
        self.spec = spec
        self.now_s = 0.0
        self.result = SimulationResult(setup_histograms=[make_setup_histogram() for _ in spec.classes])
        self._step_s = step_s
        self._sampler = ClientSampler(spec, 0)
        self._endpoints = SimulatedEndpoints(spec)
        self._frontend = ZoneFrontend(spec)
        self._faults = FaultInjector(spec, faults, self._endpoints, self._frontend, step_s)
        self._session_store = SessionStoreModel(spec)
        self._tenant_index = {tenant: index for index, tenant in enumerate(spec.tenants)}
        # Numbers of connections by class and tenant: those at each endpoint, and those that are requested.
        shape = (len(spec.classes), len(spec.tenants))
        self._connected = {name: np.zeros(shape) for name in self._endpoints.by_name}
        self._requested = np.zeros(shape)
        self._weights = np.array([class_spec.priority_weight for class_spec in spec.classes])[:, None]
        self._reconnects: Reconnects = {}
        self._next_instructions: list[Instruction] = []

    # ------------------------------------------------------------ before a step

    def start_step(self) -> StepInput:
        """Start a step: advance the faults and the session store. Return the relays' input."""
        now_s = self.now_s
        instructions = self._next_instructions
        self._next_instructions = []
        self._endpoints.list_joining_endpoints(now_s)
        instructions += self._faults.advance(now_s)
        instructions.append(
            steps.SetArrivalRate(
                self._faults.strength(FaultKind.BURST, now_s), self._faults.strength(FaultKind.BEYOND, now_s)
            )
        )
        if not self._faults.is_active(FaultKind.DISCOVERY, now_s):
            instructions += [
                steps.UpdateEndpointList(update) for update in self._endpoints.take_due_updates(now_s)
            ]
        store_call_ms = self._session_store.advance(
            self._faults.strength(FaultKind.STORE, now_s), self._step_s
        )
        conditions = self._endpoints.conditions(now_s, store_call_ms)
        reconnects = self._reconnects
        self._reconnects = {}
        return StepInput(now_s + self._step_s, conditions, reconnects, instructions)

    # ------------------------------------------------------------ after a step

    def finish_step(self, results: dict[int, StepResult]) -> None:
        """Merge the results of all relays, in the order of their numbers, and end the step."""
        until_s = self.now_s + self._step_s
        setup_count = 0
        for relay in range(self.spec.relays):
            self._merge(relay, results[relay], until_s)
            setup_count += sum(count for count, _ in results[relay].intake.values())
        self._session_store.record_calls(setup_count, self._step_s)
        self._reset_connections_of_failed_endpoints(until_s)
        served = np.zeros_like(self._requested)
        for name, endpoint in self._endpoints.by_name.items():
            endpoint.update_backlog(until_s, self._step_s)
            if name not in self._endpoints.unresponsive_since_s:
                served += self._connected[name] * answered_in_time_ratios(
                    self.spec.classes, endpoint, until_s
                )
        self.now_s = until_s
        if self.now_s == int(self.now_s):
            self._record_second(served)

    def finish(self) -> SimulationResult:
        """End the run, and return its result."""
        endpoints = self._endpoints.by_name.values()
        self.result.peak_intake_ratio = max(
            (endpoint.peak_intake_ratio for endpoint in endpoints), default=0.0
        )
        self.result.crashed_endpoints = sum(endpoint.crashed for endpoint in endpoints)
        return self.result

    def _reset_connections_of_failed_endpoints(self, until_s: float) -> None:
        """Schedule resets of the connections of crashed and of unresponsive endpoints.

        Connections of an unresponsive endpoint are reset after ``UNRESPONSIVE_TIMEOUT_S``.
        """
        endpoints = self._endpoints.by_name
        crashed = [
            name for name, endpoint in endpoints.items() if endpoint.crashed and endpoint.connection_count
        ]
        timed_out = [
            name
            for name, since_s in self._endpoints.unresponsive_since_s.items()
            if until_s >= since_s + UNRESPONSIVE_TIMEOUT_S and endpoints[name].connection_count
        ]
        if crashed or timed_out:
            self._next_instructions.append(steps.ResetConnections(crashed + timed_out))

    def _merge(self, relay: int, step_result: StepResult, until_s: float) -> None:
        endpoints = self._endpoints.by_name
        for name, (count, load) in step_result.intake.items():
            endpoints[name].record_intake(until_s, load, count)
        for name, client in step_result.connected:
            endpoints[name].add_connection(client.load, client.group)
            self._connected[name][client.class_index, self._tenant_index[client.tenant]] += 1
        for name, client in step_result.disconnected:
            endpoints[name].remove_connection(client.load, client.group)
            self._connected[name][client.class_index, self._tenant_index[client.tenant]] -= 1
        for class_index, tenant, change in step_result.requested_changes:
            self._requested[class_index, self._tenant_index[tenant]] += change
        for class_index, setup_ms in step_result.setups:
            self._record_setup(class_index, setup_ms)
        for event, count in step_result.counts.items():
            self.result.counts[event.value] += count
        self._merge_reconnects(relay, step_result, until_s)

    def _record_setup(self, class_index: int, setup_ms: float) -> None:
        class_spec = self.spec.classes[class_index]
        bounded_ms = max(MIN_SETUP_MS, min(MAX_SETUP_MS, round(setup_ms)))
        self.result.setup_histograms[class_index].record_value(bounded_ms)
        if setup_ms > class_spec.latency_objective_ms:
            self.result.counts[late_setup_key(class_spec.name)] += 1

    def _merge_reconnects(self, relay: int, step_result: StepResult, until_s: float) -> None:
        """Assign each client to a relay of the zone, for the next step at the earliest."""
        zone = self.spec.zone(relay)
        for requested_s, client in step_result.reconnects:
            due_s = max(requested_s, until_s)
            if client.waiting_since_s is None:
                client.waiting_since_s = due_s
            next_relay = self._frontend.choose_relay(zone, self._sampler)
            self._reconnects.setdefault(next_relay, []).append((due_s, client))
            weight = self.spec.classes[client.class_index].priority_weight
            self.result.weighted_waiting_s += weight * (due_s - self.now_s)

    def _record_second(self, served: NDArray[np.float64]) -> None:
        result = self.result
        running = self._endpoints.running(self.now_s)
        capacity = sum(endpoint.capacity for endpoint in running)
        mean = sum(endpoint.total_load() for endpoint in running) / capacity if capacity else 0.0
        highest = max(endpoint.total_load() / endpoint.capacity for endpoint in running) if mean > 0 else 0.0
        result.imbalance_ratios.append(highest / mean if mean > 0 else 1.0)
        result.mean_utilizations.append(mean)
        result.total_migrations.append(
            result.counts[ClientEvent.MIGRATED] + result.counts[ClientEvent.MIGRATED_BY_BALANCER]
        )
        result.total_rejections.append(result.counts[ClientEvent.REJECTED])
        weighted_requested = self._requested * self._weights
        result.requested.append(_by_class_and_tenant(weighted_requested))
        result.served.append(_by_class_and_tenant(served * self._weights))
        result.weighted_requested_s += float(weighted_requested.sum())
        if round(self.now_s) % UTILIZATION_SAMPLE_INTERVAL_S == 0:
            result.utilizations.append(self._sample_utilizations(running))

    def _sample_utilizations(self, running: list[EndpointModel]) -> list[float]:
        names = {endpoint.name for endpoint in running}
        return [
            endpoint.utilization(self.now_s) if endpoint.name in names else -1.0
            for endpoint in self._endpoints.by_name.values()
        ]


def _by_class_and_tenant(values: NDArray[np.float64]) -> list[float]:
    """Return the sums by class, followed by those by tenant."""
    return [*values.sum(axis=1).tolist(), *values.sum(axis=0).tolist()]
