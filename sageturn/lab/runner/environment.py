"""The environment of the relays in a simulated day: hosts, session store, endpoint list, and faults.

It gives the relays the input of each step, and merges what they did into the hosts and the run's result.
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
from sageturn.lab.model.client_event import ClientEvent, late_event
from sageturn.lab.model.endpoint_model import EndpointModel
from sageturn.lab.model.fleet_spec import ClassSpec, FleetSpec
from sageturn.lab.model.sampling import ClientSampler
from sageturn.lab.model.session_store import SessionStoreModel
from sageturn.lab.model.simulated_hosts import SimulatedHosts
from sageturn.lab.model.simulation_result import (
    MAX_SETUP_MS,
    MIN_SETUP_MS,
    SimulationResult,
    make_setup_histogram,
)
from sageturn.lab.model.simulation_steps import Instruction, Reconnects, StepInput, StepResult
from sageturn.lab.model.zone_frontend import ZoneFrontend

IDLE_MESSAGE_MS = 6.0  # service time of a message at an idle host of size 1
SILENCE_TIMEOUT_S = (
    MAX_CLIENT_SILENCE_S - MIGRATION_MARGIN_S
)  # until a relay migrates a silent host's clients
UTILIZATION_SAMPLE_INTERVAL_S = 5


def ratio_answered_in_time(
    classes: Sequence[ClassSpec], host: EndpointModel, now_s: float
) -> NDArray[np.float64]:
    """Returns the ratio of messages that a host answers within the objective, as a column by class.

    The host is an M/M/1 queue, behind its backlog.
    """
    utilization = host.utilization(now_s)
    service_ms = IDLE_MESSAGE_MS * host.slowdown / host.size
    ratios = []
    for class_spec in classes:
        remaining_ms = class_spec.message_objective_ms - host.backlog_s * 1000.0
        if remaining_ms > 0:
            ratios.append(1.0 - exp(-max(0.0, 1.0 - utilization) * remaining_ms / service_ms))
        else:
            ratios.append(0.0)
    return np.array(ratios)[:, None]


class SimulatedEnvironment:
    """The environment that the relays of a simulated fleet share; ``step_s`` is the length of a step."""

    def __init__(self, spec: FleetSpec, faults: Iterable[ScheduledFault], step_s: float) -> None:
        self.spec = spec
        self.now_s = 0.0
        self.result = SimulationResult(setup_histograms=[make_setup_histogram() for _ in spec.classes])
        self._step_s = step_s
        self._sampler = ClientSampler(spec, 0)
        self._hosts = SimulatedHosts(spec)
        self._frontend = ZoneFrontend(spec)
        self._faults = FaultInjector(spec, faults, self._hosts, self._frontend, step_s)
        self._session_store = SessionStoreModel(spec)
        self._tenant_index = {tenant: index for index, tenant in enumerate(spec.tenants)}
        # Numbers of connections by class and tenant: those at each host, and those that clients want.
        shape = (len(spec.classes), len(spec.tenants))
        self._connected = {name: np.zeros(shape) for name in self._hosts.by_name}
        self._wanted = np.zeros(shape)
        self._weights = np.array([class_spec.priority_weight for class_spec in spec.classes])[:, None]
        self._reconnects: Reconnects = {}
        self._next_instructions: list[Instruction] = []

    # ------------------------------------------------------------ before a step

    def start_step(self) -> StepInput:
        """Starts a step: advances the faults and the store. Returns the relays' input."""
        now_s = self.now_s
        instructions = self._next_instructions
        self._next_instructions = []
        self._hosts.join_late_hosts(now_s)
        instructions += self._faults.advance(now_s)
        instructions.append(
            steps.SetArrivalRate(
                self._faults.strength(FaultKind.BURST, now_s), self._faults.strength(FaultKind.BEYOND, now_s)
            )
        )
        if not self._faults.is_active(FaultKind.DISCOVERY, now_s):
            instructions += [
                steps.UpdateEndpointList(update) for update in self._hosts.take_due_updates(now_s)
            ]
        store_call_ms = self._session_store.advance(
            self._faults.strength(FaultKind.STORE, now_s), self._step_s
        )
        conditions = self._hosts.conditions(now_s, store_call_ms)
        reconnects = self._reconnects
        self._reconnects = {}
        return StepInput(now_s + self._step_s, conditions, reconnects, instructions)

    # ------------------------------------------------------------ after a step

    def finish_step(self, results: dict[int, StepResult]) -> None:
        """Merges the results of all relays, in the order of their numbers, and ends the step."""
        until_s = self.now_s + self._step_s
        setup_count = 0
        for relay in range(self.spec.relays):
            self._merge(relay, results[relay], until_s)
            setup_count += sum(count for count, _ in results[relay].intake.values())
        self._session_store.record_calls(setup_count, self._step_s)
        self._reset_lost_connections(until_s)
        served = np.zeros_like(self._wanted)
        for name, host in self._hosts.by_name.items():
            host.update_backlog(until_s, self._step_s)
            if name not in self._hosts.silent_since_s:
                served += self._connected[name] * ratio_answered_in_time(self.spec.classes, host, until_s)
        self.now_s = until_s
        if self.now_s == int(self.now_s):
            self._record_second(served)

    def finish(self) -> SimulationResult:
        """Ends the run, and returns its result."""
        hosts = self._hosts.by_name.values()
        self.result.peak_intake_ratio = max((host.peak_intake_ratio for host in hosts), default=0.0)
        self.result.crashed_hosts = sum(host.crashed for host in hosts)
        return self.result

    def _reset_lost_connections(self, until_s: float) -> None:
        """Resets the connections of crashed hosts, and of hosts that are silent for too long."""
        hosts = self._hosts.by_name
        crashed = [name for name, host in hosts.items() if host.crashed and host.connection_count]
        timed_out = [
            name
            for name, since_s in self._hosts.silent_since_s.items()
            if until_s >= since_s + SILENCE_TIMEOUT_S and hosts[name].connection_count
        ]
        if crashed or timed_out:
            self._next_instructions.append(steps.ResetConnections(crashed + timed_out))

    def _merge(self, relay: int, step_result: StepResult, until_s: float) -> None:
        hosts = self._hosts.by_name
        for name, (count, load) in step_result.intake.items():
            hosts[name].record_intake(until_s, load, count)
        for name, client in step_result.connected:
            hosts[name].add_connection(client.load, client.group)
            self._connected[name][client.class_index, self._tenant_index[client.tenant]] += 1
        for name, client in step_result.disconnected:
            hosts[name].remove_connection(client.load, client.group)
            self._connected[name][client.class_index, self._tenant_index[client.tenant]] -= 1
        for class_index, tenant, change in step_result.wanted_changes:
            self._wanted[class_index, self._tenant_index[tenant]] += change
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
            self.result.counts[late_event(class_spec.name)] += 1

    def _merge_reconnects(self, relay: int, step_result: StepResult, until_s: float) -> None:
        """Sends each client to a relay of the zone, in the next step at the earliest."""
        zone = self.spec.zone(relay)
        for wanted_s, client in step_result.reconnects:
            due_s = max(wanted_s, until_s)
            if client.waiting_since_s is None:
                client.waiting_since_s = due_s
            next_relay = self._frontend.choose_relay(zone, self._sampler)
            self._reconnects.setdefault(next_relay, []).append((due_s, client))
            weight = self.spec.classes[client.class_index].priority_weight
            self.result.weighted_waiting_s += weight * (due_s - self.now_s)

    def _record_second(self, served: NDArray[np.float64]) -> None:
        result = self.result
        running = self._hosts.running(self.now_s)
        capacity = sum(host.capacity for host in running)
        mean = sum(host.total_load() for host in running) / capacity if capacity else 0.0
        highest = max(host.total_load() / host.capacity for host in running) if mean > 0 else 0.0
        result.imbalance_ratios.append(highest / mean if mean > 0 else 1.0)
        result.mean_utilizations.append(mean)
        result.total_migrations.append(
            result.counts[ClientEvent.MIGRATED] + result.counts[ClientEvent.RELIEVED]
        )
        result.total_rejections.append(result.counts[ClientEvent.REJECTED])
        weighted_wanted = self._wanted * self._weights
        result.wanted.append(_by_class_and_tenant(weighted_wanted))
        result.served.append(_by_class_and_tenant(served * self._weights))
        result.weighted_wanted_s += float(weighted_wanted.sum())
        if round(self.now_s) % UTILIZATION_SAMPLE_INTERVAL_S == 0:
            result.utilizations.append(self._sample_utilizations(running))

    def _sample_utilizations(self, running: list[EndpointModel]) -> list[float]:
        names = {host.name for host in running}
        return [
            host.utilization(self.now_s) if host.name in names else -1.0
            for host in self._hosts.by_name.values()
        ]


def _by_class_and_tenant(values: NDArray[np.float64]) -> list[float]:
    """Returns the sums by class, followed by those by tenant."""
    return [*values.sum(axis=1).tolist(), *values.sum(axis=0).tolist()]
