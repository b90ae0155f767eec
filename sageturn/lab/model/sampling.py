"""Sampling of clients, groups and delays: the same fleet and seed give the same clients and arrivals."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

import numpy as np

from sageturn.lab.model.fleet_spec import ClassSpec, FleetSpec


@dataclass(slots=True)
class Client:
    """Client of the fleet over all of its connections.

    ``class_index`` is an index into the fleet's classes. ``lifetime_s`` is the remaining time that it spends
    connected. ``waiting_since_s`` is the time at which it first requested the connection that it is waiting
    for; None while it is connected or has not requested one yet.
    """

    key: str
    class_index: int
    tenant: str
    group: str
    load: float
    lifetime_s: float
    migrations: int = 0
    attempts: int = 0
    waiting_since_s: float | None = None


class _GroupAndTenant(NamedTuple):
    """Group of a client, empty for one without a group, and its tenant."""

    group: str
    tenant: str


class ClientSampler:
    """Random generator of a fleet's clients and delays.

    ``stream`` selects an independent random stream of the fleet's seed, since each simulated relay samples
    its own arrivals. The order of the calls affects the result: all calls draw from the same stream.
    """

    def __init__(self, spec: FleetSpec, stream: int = 0) -> None:
        self._spec = spec
        self._rng = np.random.Generator(np.random.PCG64([spec.seed, stream]))
        self._stream = stream
        self._client_count = 0
        self._group = ""
        self._group_tenant = ""
        self._group_members_left = 0
        self._group_count = 0
        self._tenants = list(spec.tenants)
        tenant_weights = np.array(list(spec.tenants.values()))
        self._tenant_probabilities = tenant_weights / tenant_weights.sum()
        class_weights = np.array([class_spec.share for class_spec in spec.classes])
        self._class_probabilities = class_weights / class_weights.sum()

    def uniform(self, low: float, high: float) -> float:
        """Sample a number uniformly from ``low`` up to ``high``."""
        return float(self._rng.uniform(low, high))

    def index_below(self, end: int) -> int:
        """Sample an integer from 0 up to but excluding ``end``."""
        return int(self._rng.integers(end))

    def interarrival_s(self, arrivals_per_s: float) -> float:
        """Sample the time to the next arrival of a Poisson process; infinite for a rate of 0."""
        return float(self._rng.exponential(1.0 / arrivals_per_s)) if arrivals_per_s > 0 else float("inf")

    def reconnect_delay_s(self) -> float:
        """Sample the seconds that a client waits before it reconnects."""
        return self.uniform(*self._spec.reconnect_delay_ms) / 1000.0

    def client(self) -> Client:
        """Sample the next client; clients of a group are sampled one after another."""
        class_index = int(self._rng.choice(len(self._spec.classes), p=self._class_probabilities))
        class_spec = self._spec.classes[class_index]
        self._client_count += 1
        key = f"{self._stream:x}k{self._client_count:x}"
        group, tenant = self._group_and_tenant(class_spec)
        lifetime_factor = self.uniform(*class_spec.lifetime_factor)
        lifetime_s = float(self._rng.exponential(self._spec.mean_lifetime_s * lifetime_factor))
        return Client(key, class_index, tenant, group, self.uniform(*class_spec.load), lifetime_s)

    def _group_and_tenant(self, class_spec: ClassSpec) -> _GroupAndTenant:
        if not class_spec.grouped:
            return _GroupAndTenant("", self._tenant())
        if not self._group_members_left:
            self._start_group()
        self._group_members_left -= 1
        return _GroupAndTenant(self._group, self._group_tenant)

    def _start_group(self) -> None:
        smallest, largest = self._spec.group_size
        self._group_members_left = int(self._rng.integers(smallest, largest + 1))
        self._group_count += 1
        self._group = f"{self._stream:x}g{self._group_count:x}"
        self._group_tenant = self._tenant()

    def _tenant(self) -> str:
        return self._tenants[int(self._rng.choice(len(self._tenants), p=self._tenant_probabilities))]
