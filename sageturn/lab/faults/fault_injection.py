"""Injection of the scheduled faults of a run into a simulated fleet."""

from __future__ import annotations

from collections.abc import Iterable

import numpy as np

from sageturn.decision import EndpointStatus
from sageturn.lab.faults.fault import FaultKind, ScheduledFault
from sageturn.lab.model import simulation_steps as steps
from sageturn.lab.model.fleet_spec import FleetSpec
from sageturn.lab.model.simulated_endpoints import SimulatedEndpoints
from sageturn.lab.model.simulation_steps import Instruction
from sageturn.lab.model.zone_frontend import ZoneFrontend

DRAIN_DISCOVERY_DELAY_S = 0.5
FLAP_INTERVAL_S = 2.0
RELAY_SELECTION_STREAM = 8  # random stream of the fleet's seed
INTERVAL_TOLERANCE = 1e-9  # tolerated rounding error of a number of intervals


class FaultInjector:
    """Injector of faults, which changes the endpoints and makes the instructions for the relays."""

    def __init__(
        self,
        spec: FleetSpec,
        faults: Iterable[ScheduledFault],
        endpoints: SimulatedEndpoints,
        frontend: ZoneFrontend,
        step_s: float,
    ) -> None:
        self._spec = spec
        self._faults = list(faults)
        self._endpoints = endpoints
        self._frontend = frontend
        self._step_s = step_s
        self._affected: dict[int, list[str]] = {}  # names of endpoints, by the index of the fault
        self._relay_faults: set[int] = set()  # indices of active RELAYS faults; relays restart after the last

    def advance(self, now_s: float) -> list[Instruction]:
        """Start and end the faults that are due in the step that begins at ``now_s``.

        Return the instructions for the relays.
        """
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
        """Return the product of the strengths of a kind's active faults; 1 without any."""
        product = 1.0
        for fault in self._faults:
            if fault.kind == kind and fault.is_active(now_s):
                product *= fault.strength
        return product

    def is_active(self, kind: FaultKind, now_s: float) -> bool:
        """Return True if a fault of the kind is in effect."""
        return any(fault.kind == kind and fault.is_active(now_s) for fault in self._faults)

    # ------------------------------------------------------------ starts

    def _start(self, index: int, fault: ScheduledFault, now_s: float) -> list[Instruction]:
        match fault.kind:
            case FaultKind.SLOW:
                for endpoint in self._endpoints.named(self._choose_endpoints(index, fault)):
                    endpoint.slowdown *= fault.strength
            case FaultKind.RECONNECT:
                return [steps.DropClients(fault.part, fault.length_s)]
            case FaultKind.VANISH:
                for name in self._choose_endpoints(index, fault):
                    self._endpoints.unresponsive_since_s[name] = now_s
            case FaultKind.RESTART:
                return self._stop_endpoints(self._choose_endpoints(index, fault), now_s)
            case FaultKind.DRAIN:
                return self._drain_endpoints(self._choose_endpoints(index, fault), fault, now_s)
            case FaultKind.DISCOVERY:
                return [steps.FailDiscovery()]
            case FaultKind.FLAP:
                self._choose_endpoints(index, fault)
            case FaultKind.RELAYS:
                return self._kill_relays(index, fault)
        return []

    def _choose_endpoints(self, index: int, fault: ScheduledFault) -> list[str]:
        # Each fault has its own random stream, so that its endpoints do not depend on the other faults.
        self._affected[index] = self._endpoints.choose(fault.part, index)
        return self._affected[index]

    def _stop_endpoints(self, names: list[str], now_s: float) -> list[Instruction]:
        self._endpoints.stopped.update(names)
        self._endpoints.publish(self._endpoints.named(names), now_s, EndpointStatus.REMOVED)
        return [steps.ResetConnections(names)]

    def _drain_endpoints(self, names: list[str], fault: ScheduledFault, now_s: float) -> list[Instruction]:
        endpoints = self._endpoints.named(names)
        for endpoint in endpoints:
            endpoint.draining = True
        self._endpoints.publish(endpoints, now_s, EndpointStatus.DRAINING, DRAIN_DISCOVERY_DELAY_S)
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
                for endpoint in self._endpoints.named(names):
                    endpoint.slowdown /= fault.strength
            case FaultKind.VANISH:
                # The environment has reset the connections if the fault lasted longer than its timeout. The
                # other state of the endpoints has not changed.
                for name in names:
                    self._endpoints.unresponsive_since_s.pop(name, None)
            case FaultKind.RESTART:
                self._start_endpoints(names, now_s)
            case FaultKind.DRAIN:
                return self._stop_endpoints(names, now_s)
            case FaultKind.DISCOVERY:
                return [steps.RestoreDiscovery()]
            case FaultKind.FLAP:
                self._endpoints.publish(self._endpoints.named(names), now_s)
            case FaultKind.RELAYS:
                self._relay_faults.discard(index)
                if self._relay_faults:
                    return []
                self._frontend.restore_relays()
                return [steps.RestartRelays(self._endpoints.full_list())]
        return []

    def _start_endpoints(self, names: list[str], now_s: float) -> None:
        endpoints = self._endpoints.named(names)
        self._endpoints.stopped.difference_update(names)
        for endpoint in endpoints:
            endpoint.started_s = now_s
        self._endpoints.publish(endpoints, now_s)

    def _flap(self, index: int, fault: ScheduledFault, now_s: float) -> None:
        """Remove the endpoints from the endpoint list or list them again, once per interval."""
        intervals = (now_s - fault.start_s) / FLAP_INTERVAL_S
        if abs(intervals - round(intervals)) >= INTERVAL_TOLERANCE:
            return
        state = EndpointStatus.REMOVED if round(intervals) % 2 == 0 else EndpointStatus.READY
        self._endpoints.publish(self._endpoints.named(self._affected[index]), now_s, state, delay_s=0.0)
