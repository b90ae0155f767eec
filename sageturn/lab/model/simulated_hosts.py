"""The hosts of a simulated fleet, their present state, and the endpoint list that discovery reports."""

from __future__ import annotations

from collections.abc import Iterable

import numpy as np

from sageturn import decision
from sageturn.lab.model.endpoint_model import MAX_UTILIZATION, EndpointModel
from sageturn.lab.model.fleet import describe_endpoint, make_hosts
from sageturn.lab.model.fleet_spec import FleetSpec
from sageturn.lab.model.simulation_steps import EndpointConditions

DISCOVERY_DELAY_S = 2.0
HOST_SELECTION_STREAM = 7  # random stream of the fleet's seed


class SimulatedHosts:
    """All hosts by name, with the endpoint list that discovery will report.

    ``stopped`` hosts don't run at present; ``silent_since_s`` has the hosts that have stopped answering while
    their connections stay open.
    """

    def __init__(self, spec: FleetSpec) -> None:
        self._spec = spec
        self.by_name = {host.name: host for host in make_hosts(spec)}
        self.stopped: set[str] = set()
        self.silent_since_s: dict[str, float] = {}
        self._late_hosts_joined = False
        self._pending_updates: list[tuple[float, list[decision.Endpoint]]] = []

    def join_late_hosts(self, now_s: float) -> None:
        """Puts the hosts that start during the run on the list, once their time has come."""
        if self._late_hosts_joined or now_s < self._spec.join_s:
            return
        self._late_hosts_joined = True
        self.publish(list(self.by_name.values())[self._spec.initial_hosts :], now_s, delay_s=0.0)

    def choose(self, ratio: float, stream: int) -> list[str]:
        """Chooses a ratio of the present hosts, at least one; each ``stream`` has its own random numbers."""
        rng = np.random.Generator(np.random.PCG64([self._spec.seed, HOST_SELECTION_STREAM, stream]))
        present = [host.name for host in self._joined()]
        count = max(1, round(ratio * len(present)))
        return [present[index] for index in sorted(rng.choice(len(present), count, replace=False))]

    def named(self, names: Iterable[str]) -> list[EndpointModel]:
        """Returns the hosts with these names."""
        return [self.by_name[name] for name in names]

    def running(self, now_s: float) -> list[EndpointModel]:
        """Returns the hosts that have started and are not stopped."""
        return [
            host
            for host in self.by_name.values()
            if now_s >= host.started_s and host.name not in self.stopped
        ]

    def conditions(self, now_s: float, store_call_ms: float) -> dict[str, EndpointConditions]:
        """Returns the conditions that a relay meets at each host now; each set-up calls the session store."""
        return {
            name: EndpointConditions(
                running=not host.crashed and name not in self.stopped,
                setup_ms=host.setup_time_ms(now_s) + store_call_ms,
                full=host.draining or host.utilization(now_s) >= MAX_UTILIZATION,
                silent=name in self.silent_since_s,
            )
            for name, host in self.by_name.items()
        }

    # ------------------------------------------------------------ discovery

    def publish(
        self,
        hosts: Iterable[EndpointModel],
        now_s: float,
        state: decision.EndpointStatus = decision.EndpointStatus.READY,
        delay_s: float = DISCOVERY_DELAY_S,
    ) -> None:
        """Has discovery report a state of these hosts after ``delay_s``."""
        endpoints = [describe_endpoint(host, state) for host in hosts]
        self._pending_updates.append((now_s + delay_s, endpoints))

    def take_due_updates(self, now_s: float) -> list[list[decision.Endpoint]]:
        """Removes the updates that discovery reports by now, and returns them."""
        due = [endpoints for due_s, endpoints in self._pending_updates if due_s <= now_s]
        self._pending_updates = [update for update in self._pending_updates if update[0] > now_s]
        return due

    def full_list(self) -> list[decision.Endpoint]:
        """Returns the full endpoint list, as a relay that starts now gets it."""
        return [
            describe_endpoint(
                host, decision.EndpointStatus.DRAINING if host.draining else decision.EndpointStatus.READY
            )
            for host in self._joined()
            if host.name not in self.stopped
        ]

    def _joined(self) -> list[EndpointModel]:
        hosts = list(self.by_name.values())
        return hosts if self._late_hosts_joined else hosts[: self._spec.initial_hosts]
