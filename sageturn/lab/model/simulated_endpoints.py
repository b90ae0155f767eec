"""Endpoints of a simulated fleet, their current state, and the endpoint list that discovery reports."""

from __future__ import annotations

from collections.abc import Iterable

import numpy as np

from sageturn import decision
from sageturn.lab.model.endpoint_model import MAX_UTILIZATION, EndpointModel
from sageturn.lab.model.fleet import make_endpoints, make_list_entry
from sageturn.lab.model.fleet_spec import FleetSpec
from sageturn.lab.model.simulation_steps import EndpointConditions

DISCOVERY_DELAY_S = 2.0
ENDPOINT_SELECTION_STREAM = 7  # random stream of the fleet's seed


class SimulatedEndpoints:
    """All endpoints by name, and the pending updates of the endpoint list.

    ``stopped`` has the names of endpoints that do not run at present. ``unresponsive_since_s`` has the time
    since which an endpoint has not answered, by name; its connections stay open.
    """

    def __init__(self, spec: FleetSpec) -> None:
        self._spec = spec
        self.by_name = {endpoint.name: endpoint for endpoint in make_endpoints(spec)}
        self.stopped: set[str] = set()
        self.unresponsive_since_s: dict[str, float] = {}
        self._joining_endpoints_listed = False
        self._pending_updates: list[tuple[float, list[decision.Endpoint]]] = []

    def list_joining_endpoints(self, now_s: float) -> None:
        """Publish the joining endpoints, once their start time is reached."""
        if self._joining_endpoints_listed or now_s < self._spec.join_s:
            return
        self._joining_endpoints_listed = True
        self.publish(list(self.by_name.values())[self._spec.initial_endpoints :], now_s, delay_s=0.0)

    def choose(self, ratio: float, stream: int) -> list[str]:
        """Choose a random fraction of the joined endpoints, at least one; ``stream`` selects the numbers."""
        rng = np.random.Generator(np.random.PCG64([self._spec.seed, ENDPOINT_SELECTION_STREAM, stream]))
        present = [endpoint.name for endpoint in self._joined()]
        count = max(1, round(ratio * len(present)))
        return [present[index] for index in sorted(rng.choice(len(present), count, replace=False))]

    def named(self, names: Iterable[str]) -> list[EndpointModel]:
        """Return the endpoints with these names."""
        return [self.by_name[name] for name in names]

    def running(self, now_s: float) -> list[EndpointModel]:
        """Return the endpoints that have started and are not stopped."""
        return [
            endpoint
            for endpoint in self.by_name.values()
            if now_s >= endpoint.started_s and endpoint.name not in self.stopped
        ]

    def conditions(self, now_s: float, store_call_ms: float) -> dict[str, EndpointConditions]:
        """Return the conditions at each endpoint; a set-up includes one call of the session store."""
        return {
            name: EndpointConditions(
                running=not endpoint.crashed and name not in self.stopped,
                setup_ms=endpoint.setup_time_ms(now_s) + store_call_ms,
                full=endpoint.draining or endpoint.utilization(now_s) >= MAX_UTILIZATION,
                unresponsive=name in self.unresponsive_since_s,
            )
            for name, endpoint in self.by_name.items()
        }

    # ------------------------------------------------------------ discovery

    def publish(
        self,
        endpoints: Iterable[EndpointModel],
        now_s: float,
        state: decision.EndpointStatus = decision.EndpointStatus.READY,
        delay_s: float = DISCOVERY_DELAY_S,
    ) -> None:
        """Schedule an update by which discovery reports a state of these endpoints after ``delay_s``."""
        entries = [make_list_entry(endpoint, state) for endpoint in endpoints]
        self._pending_updates.append((now_s + delay_s, entries))

    def take_due_updates(self, now_s: float) -> list[list[decision.Endpoint]]:
        """Remove and return the updates that are due."""
        due = [entries for due_s, entries in self._pending_updates if due_s <= now_s]
        self._pending_updates = [update for update in self._pending_updates if update[0] > now_s]
        return due

    def full_list(self) -> list[decision.Endpoint]:
        """Return the full endpoint list, as sent to a relay that starts now."""
        return [
            make_list_entry(
                endpoint,
                decision.EndpointStatus.DRAINING if endpoint.draining else decision.EndpointStatus.READY,
            )
            for endpoint in self._joined()
            if endpoint.name not in self.stopped
        ]

    def _joined(self) -> list[EndpointModel]:
        endpoints = list(self.by_name.values())
        return endpoints if self._joining_endpoints_listed else endpoints[: self._spec.initial_endpoints]
