"""Inject the scheduled faults of a day into a simulated fleet."""

from __future__ import annotations

from collections.abc import Iterable

import numpy as np

from sageturn.decision import EndpointStatus
from sageturn.lab.faults.fault import FaultKind, ScheduledFault
from sageturn.lab.model import simulation_steps as steps
from sageturn.lab.model.fleet_spec import FleetSpec
from sageturn.lab.model.simulated_hosts import SimulatedHosts
from sageturn.lab.model.simulation_steps import Instruction
from sageturn.lab.model.zone_frontend import ZoneFrontend

DRAIN_DISCOVERY_DELAY_S = 0.5
FLAP_INTERVAL_S = 2.0
RELAY_SELECTION_STREAM = 8  # random stream of the fleet's seed
TIME_TOLERANCE = 1e-9


class FaultInjector:
    """Starts and ends faults on the hosts, and makes the instructions for the relays."""

    def __init__(
        self,
        spec: FleetSpec,
        faults: Iterable[ScheduledFault],
        hosts: SimulatedHosts,
        frontend: ZoneFrontend,
        step_s: float,
    ) -> None:
        self._spec = spec
        self._faults = list(faults)
        self._hosts = hosts
        self._frontend = frontend
        self._step_s = step_s
        self._affected: dict[int, list[str]] = {}  # names of the hosts, by the index of the fault
        self._relay_faults: set[int] = set()  # in effect, by index: relays return once all are over

    def advance(self, now_s: float) -> list[Instruction]:
        """Starts and ends the faults that are due in the step that begins now. Returns the instructions."""
        instructions: list[Instruction] = []
        for index, fault in enumerate(self._faults):
            if fault.starts_within(now_s, self._step_s):
                instructions += self._start(index, fault, now_s)
            if fault.ends_within(now_s, self._step_s):
                instructions += self._end(index, fault, now_s)
            if fault.kind == FaultKind.FLAP and fault.is_active(now_s):
                self._flap(index, fault, now_s)
        return instructions

    def strength(self, kind: FaultKind, now_s: float) -> float:
        """Returns the product of the strengths of a kind's active faults; 1 without any."""
        product = 1.0
        for fault in self._faults:
            if fault.kind == kind and fault.is_active(now_s):
                product *= fault.strength
        return product

    def is_active(self, kind: FaultKind, now_s: float) -> bool:
        """Whether a fault of a kind is in effect."""
        return any(fault.kind == kind and fault.is_active(now_s) for fault in self._faults)

    # ------------------------------------------------------------ starts

    def _start(self, index: int, fault: ScheduledFault, now_s: float) -> list[Instruction]:
        match fault.kind:
            case FaultKind.SLOW:
                for host in self._hosts.named(self._choose(index, fault)):
                    host.slowdown *= fault.strength
            case FaultKind.RECONNECT:
                return [steps.DropClients(fault.part, fault.length_s)]
            case FaultKind.VANISH:
                for name in self._choose(index, fault):
                    self._hosts.silent_since_s[name] = now_s
            case FaultKind.RESTART:
                return self._stop_hosts(self._choose(index, fault), now_s)
            case FaultKind.DRAIN:
                return self._drain_hosts(self._choose(index, fault), fault, now_s)
            case FaultKind.DISCOVERY:
                return [steps.FailDiscovery()]
            case FaultKind.FLAP:
                self._choose(index, fault)
            case FaultKind.RELAYS:
                return self._kill_relays(index, fault)
        return []

    def _choose(self, index: int, fault: ScheduledFault) -> list[str]:
        # A fault has random numbers of its own, so that no other fault changes its hosts.
        self._affected[index] = self._hosts.choose(fault.part, index)
        return self._affected[index]

    def _stop_hosts(self, names: list[str], now_s: float) -> list[Instruction]:
        self._hosts.stopped.update(names)
        self._hosts.publish(self._hosts.named(names), now_s, EndpointStatus.GONE)
        return [steps.ResetConnections(names)]

    def _drain_hosts(self, names: list[str], fault: ScheduledFault, now_s: float) -> list[Instruction]:
        hosts = self._hosts.named(names)
        for host in hosts:
            host.draining = True
        self._hosts.publish(hosts, now_s, EndpointStatus.DRAINING, DRAIN_DISCOVERY_DELAY_S)
        return [steps.DrainConnections(names, fault.length_s)]

    def _kill_relays(self, index: int, fault: ScheduledFault) -> list[Instruction]:
        count = max(1, round(fault.part * self._spec.relays))
        rng = np.random.Generator(np.random.PCG64([self._spec.seed, RELAY_SELECTION_STREAM, index]))
        killed = sorted(int(relay) for relay in rng.choice(self._spec.relays, count, replace=False))
        self._frontend.remove_relays(killed)
        self._relay_faults.add(index)
        return [steps.KillRelays(killed)]

    # ------------------------------------------------------------ ends

    def _end(self, index: int, fault: ScheduledFault, now_s: float) -> list[Instruction]:
        names = self._affected.get(index, [])
        match fault.kind:
            case FaultKind.SLOW:
                for host in self._hosts.named(names):
                    host.slowdown /= fault.strength
            case FaultKind.VANISH:
                # The relays have given up its connections by then; nothing else of the host has changed.
                for name in names:
                    self._hosts.silent_since_s.pop(name, None)
            case FaultKind.RESTART:
                self._start_hosts(names, now_s)
            case FaultKind.DRAIN:
                return self._stop_hosts(names, now_s)
            case FaultKind.DISCOVERY:
                return [steps.RestoreDiscovery()]
            case FaultKind.FLAP:
                self._hosts.publish(self._hosts.named(names), now_s)
            case FaultKind.RELAYS:
                self._relay_faults.discard(index)
                if self._relay_faults:
                    return []
                self._frontend.restore_relays()
                return [steps.RestartRelays(self._hosts.full_list())]
        return []

    def _start_hosts(self, names: list[str], now_s: float) -> None:
        hosts = self._hosts.named(names)
        self._hosts.stopped.difference_update(names)
        for host in hosts:
            host.started_s = now_s
        self._hosts.publish(hosts, now_s)

    def _flap(self, index: int, fault: ScheduledFault, now_s: float) -> None:
        """Lets the hosts leave the list or return, each time that the interval is over."""
        intervals = (now_s - fault.start_s) / FLAP_INTERVAL_S
        if abs(intervals - round(intervals)) >= TIME_TOLERANCE:
            return
        state = EndpointStatus.GONE if round(intervals) % 2 == 0 else EndpointStatus.READY
        self._hosts.publish(self._hosts.named(self._affected[index]), now_s, state, delay_s=0.0)
