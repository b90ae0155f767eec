"""Clients and their groups, drawn from one seed: the same spec gives the same population and arrivals."""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np

from sageturn.lab.fleet_spec import FleetSpec


@dataclass(slots=True)
class Client:
    key: str
    cls: int  # its place in the spec's classes
    tenant: str
    group: str
    load: float
    life_s: float
    moves: int = 0
    tries: int = 0
    since_s: float = 0.0  # when it first asked to be served this time: it waits from then on


class ClientSampler:
    """``part``: of the population, as when each of many relays draws its own."""

    def __init__(self, spec: FleetSpec, stream: int = 0) -> None:
        self._spec = spec
        self._rng = np.random.Generator(np.random.PCG64([spec.seed, stream]))
        self._stream, self._made = stream, 0
        self._group, self._group_left, self._groups = "", 0, 0
        self._open: list[tuple[str, str]] = []  # groups that newcomers may join, with their members
        self._names = list(spec.members)
        self._parts = np.array(list(spec.members.values()))
        self._parts = self._parts / self._parts.sum()
        self._shares = np.array([c.share for c in spec.classes])
        self._shares = self._shares / self._shares.sum()

    def uniform(self, low: float, high: float) -> float:
        return float(self._rng.uniform(low, high))

    def below(self, end: int) -> int:
        return int(self._rng.integers(end))

    def wait_s(self, per_s: float) -> float:
        """Until the next arrival of an open stream of them."""
        return float(self._rng.exponential(1.0 / per_s)) if per_s > 0 else float("inf")

    def client(self) -> Client:
        spec = self._spec
        number = int(self._rng.choice(len(spec.classes), p=self._shares))
        cls = spec.classes[number]
        self._made += 1
        key = f"{self._stream:x}k{self._made:x}"
        group, tenant = "", ""
        if cls.grouped:
            if not self._group_left:
                low, high = spec.group_size
                self._group_left = int(self._rng.integers(low, high + 1))
                self._groups += 1
                self._group = f"{self._stream:x}g{self._groups:x}"
                self._tenant = self._names[int(self._rng.choice(len(self._names), p=self._parts))]
            self._group_left -= 1
            group, tenant = self._group, self._tenant
        else:
            tenant = self._names[int(self._rng.choice(len(self._names), p=self._parts))]
        times = self.uniform(*cls.life)
        life_s = float(self._rng.exponential(spec.life_s * times))
        return Client(key, number, tenant, group, self.uniform(*cls.load), life_s)

    def gap_s(self) -> float:
        return self.uniform(*self._spec.gap_ms) / 1000.0
