"""What lies around the relays of a simulated day: hosts, the session store, the list, and what goes wrong.

It is told what the relays did in a step, and tells them what they meet in the next.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from math import exp
from typing import Any

import numpy as np
from hdrh.histogram import HdrHistogram

from sageturn import decision
from sageturn.frontends.platform.timing import MAX_CLIENT_SILENCE_S, MIGRATION_MARGIN_S
from sageturn.lab.endpoint_model import MAX_UTILIZATION, EndpointModel
from sageturn.lab.faults import ScheduledFault
from sageturn.lab.fleet_spec import FleetSpec
from sageturn.lab.sampling import Client, ClientSampler
from sageturn.lab.simulated_relay import HostNow, Order, StepResult

HISTOGRAM = (1, 120_000, 3)  # milliseconds, with three digits
MESSAGE_MS = 6.0  # at an idle host of the usual size
LIST_LATE_S = 2.0  # discovery is so late
# A relay that hears nothing back moves its client after so long.
MUTE_S = MAX_CLIENT_SILENCE_S - MIGRATION_MARGIN_S
FLAP_S = 2.0
STORE_MS = 6.0  # a call to the session store that has nothing else to do


def histogram() -> HdrHistogram:
    return HdrHistogram(*HISTOGRAM)


@dataclass
class SimulationResult:
    """What a run has shown. ``ratio`` and the rows of ``served`` have an entry a second."""

    ratio: list[float] = field(default_factory=list)  # the fullest host's fill over the mean
    fill: list[float] = field(default_factory=list)  # the mean of the hosts that are there
    moved_by: list[int] = field(default_factory=list)
    refused_by: list[int] = field(default_factory=list)
    wanted: list[list[float]] = field(default_factory=list)  # worth a second, by class and then member
    served: list[list[float]] = field(default_factory=list)
    fills: list[list[float]] = field(default_factory=list)  # every 5 s, by host; -1 where it is not there
    counts: Counter[str] = field(default_factory=Counter)
    set_ups: list[HdrHistogram] = field(default_factory=list)
    fresh_peak: float = 0.0  # of the bound on a cold host's intake, the most that any used
    fallen: int = 0
    waited_worth: float = 0.0  # worth-seconds in which clients waited to stand again
    worth: float = 0.0  # worth-seconds asked for, as far as clients are there to ask
    states: dict[int, dict[str, object]] = field(default_factory=dict)  # each planner's, at the end

    def service(self) -> float:
        """Worth of well-served seconds over the worth of all seconds asked for."""
        wanted = float(np.sum(self.wanted))
        return float(np.sum(self.served)) / wanted if wanted > 0 else 0.0


def make_hosts(spec: FleetSpec) -> list[EndpointModel]:
    """The early ones stand since long ago; the others start when they join."""
    return [
        EndpointModel(
            spec.host_name(k),
            spec.kind(k),
            spec.size(k),
            spec.capacity(k),
            spec.zone(k),
            started_s=-1e9 if k < spec.early else spec.join_s,
            set_up_ms=spec.set_up_ms,
            group_cost=spec.group_cost,
            usual_load=spec.usual_load,
            initial_capacity_ratio=spec.initial_capacity_ratio,
            warm_s=spec.warm_s,
            cold_overload_multiple=spec.cold_overload_multiple,
            fall_s=spec.fall_s,
        )
        for k in range(spec.hosts)
    ]


def server_line(host: EndpointModel, state: str = "ready") -> decision.Endpoint:
    started_ms = host.started_s * 1000.0 if host.started_s > 0 else 0.0
    return decision.Endpoint(host.name, state, host.zone, 0, started_ms, 1.0, host.kind)


def starting_homes(spec: FleetSpec, hosts: list[EndpointModel], zone: str) -> list[EndpointModel]:
    """Where those stand who are there at the start: early hosts of a zone, as often as their size wants."""
    early = [h for k, h in enumerate(hosts) if k < spec.early and (len(spec.zones) == 1 or h.zone == zone)]
    least = min(h.size for h in early)
    return [h for h in early for _ in range(round(4 * h.size / least))]


class SimulatedEnvironment:
    """``step_s``: how much time a step is."""

    def __init__(self, spec: FleetSpec, troubles: Iterable[ScheduledFault], step_s: float) -> None:
        self.spec, self.troubles, self.step_s = spec, list(troubles), step_s
        self.hosts = {h.name: h for h in make_hosts(spec)}
        self.now_s = 0.0
        self.series = SimulationResult(set_ups=[histogram() for _ in spec.classes])
        self.draws = ClientSampler(spec, 0)
        self._by_zone = {z: [n for n in range(spec.relays) if spec.zone(n) == z] for z in spec.zones}
        self._members = {name: k for k, name in enumerate(spec.members)}
        shape = (len(spec.classes), len(spec.members))
        self._standing = {name: np.zeros(shape) for name in self.hosts}
        self._wanting = np.zeros(shape)
        self._worth = np.array([c.worth for c in spec.classes])[:, None]
        self._picked: dict[int, list[str]] = {}  # by trouble: the hosts that it strikes
        self._dead: dict[str, float] = {}  # by host: until when
        self._silent: dict[str, float] = {}  # since when
        self._told: list[tuple[float, list[decision.Endpoint]]] = []  # what the list will tell, and when
        self._store_calls = 0.0  # a second, lately
        self._store_waits_s = 0.0  # work piled up there
        self._returns: dict[int, list[tuple[float, Client]]] = {}
        self._orders: list[Order] = []
        self._joined = False
        # A usual day asks the store for a quarter of what it can do.
        self._store_per_s = 4.0 * spec.arrivals_per_s * spec.store_headroom

    # ------------------------------------------------------------ before a step

    def begin(self) -> tuple[dict[str, HostNow], dict[int, list[tuple[float, Client]]], list[Order]]:
        """What the relays meet in the step that starts now: hosts, clients that come, and orders."""
        orders, self._orders = self._orders, []
        if not self._joined and self.now_s >= self.spec.join_s:
            self._joined = True
            late = [h for k, h in enumerate(self.hosts.values()) if k >= self.spec.early]
            self._list(late, late_s=0.0)
        for number, trouble in enumerate(self.troubles):
            if trouble.begins(self.now_s, self.step_s):
                orders += self._begin(number, trouble)
            if trouble.ends(self.now_s, self.step_s):
                orders += self._end(number, trouble)
            if trouble.kind == "flap" and trouble.on(self.now_s):
                self._flap(number, trouble)
        rate = beyond = 1.0
        store = 1.0
        for trouble in self.troubles:
            if trouble.on(self.now_s):
                rate *= trouble.strength if trouble.kind == "burst" else 1.0
                beyond *= trouble.strength if trouble.kind == "beyond" else 1.0
                store *= trouble.strength if trouble.kind == "store" else 1.0
        orders.append(Order("rate", rate=rate, beyond=beyond))
        blind = any(t.kind == "discovery" and t.on(self.now_s) for t in self.troubles)
        if not blind:
            due = [told for told in self._told if told[0] <= self.now_s]
            self._told = [told for told in self._told if told[0] > self.now_s]
            orders += [Order("list", endpoints=lines) for _, lines in due]
        store_ms = self._store(store)
        met = {name: self._met(host, store_ms) for name, host in self.hosts.items()}
        returns, self._returns = self._returns, {}
        return met, returns, orders

    def _met(self, host: EndpointModel, store_ms: float) -> HostNow:
        up = not host.fallen and host.name not in self._dead
        full = host.draining or host.fill(self.now_s) >= MAX_UTILIZATION
        return HostNow(up, host.set_up_takes_ms(self.now_s) + store_ms, full, host.name in self._silent)

    def _store(self, slower: float) -> float:
        """How long a call to the session store takes now, in milliseconds."""
        if self.spec.store_headroom <= 0:
            return 0.0
        can = self._store_per_s / slower
        self._store_waits_s = max(0.0, self._store_waits_s + (self._store_calls / can - 1.0) * self.step_s)
        busy = min(MAX_UTILIZATION, self._store_calls / can)
        return STORE_MS * slower / (1.0 - busy) + self._store_waits_s * 1000.0

    # ------------------------------------------------------------ troubles

    def _pick(self, number: int, trouble: ScheduledFault) -> list[str]:
        """The hosts that it strikes: drawn for each trouble alone, so that another does not change them."""
        rng = np.random.Generator(np.random.PCG64([self.spec.seed, 7, number]))
        there = [h.name for k, h in enumerate(self.hosts.values()) if k < self.spec.early or self._joined]
        count = max(1, round(trouble.part * len(there)))
        names = [there[k] for k in sorted(rng.choice(len(there), count, replace=False))]
        self._picked[number] = names
        return names

    def _begin(self, number: int, trouble: ScheduledFault) -> list[Order]:
        match trouble.kind:
            case "slow":
                for name in self._pick(number, trouble):
                    self.hosts[name].slow *= trouble.strength
            case "reconnect":
                return [Order("drop", part=trouble.part, over_s=trouble.length_s)]
            case "vanish":
                for name in self._pick(number, trouble):
                    self._silent[name] = self.now_s
            case "restart":
                names = self._pick(number, trouble)
                for name in names:
                    self._dead[name] = self.now_s + trouble.length_s
                self._list([self.hosts[n] for n in names], "gone")
                return [Order("cut", hosts=names)]
            case "drain":
                names = self._pick(number, trouble)
                for name in names:
                    self.hosts[name].draining = True
                self._list([self.hosts[n] for n in names], "draining", late_s=0.5)
                return [Order("send_away", hosts=names, over_s=trouble.length_s)]
            case "discovery":
                return [Order("blind")]
            case "flap":
                self._pick(number, trouble)
            case "relays":
                count = max(1, round(trouble.part * self.spec.relays))
                rng = np.random.Generator(np.random.PCG64([self.spec.seed, 8, number]))
                killed = sorted(int(n) for n in rng.choice(self.spec.relays, count, replace=False))
                for n in killed:
                    zone = self._by_zone[self.spec.zone(n)]
                    if len(zone) > 1:
                        zone.remove(n)
                return [Order("kill", relays=killed)]
        return []

    def _end(self, number: int, trouble: ScheduledFault) -> list[Order]:
        names = self._picked.get(number, [])
        match trouble.kind:
            case "slow":
                for name in names:
                    self.hosts[name].slow /= trouble.strength
            case "vanish":
                # It comes back as it was, but what it held was given up by then.
                for name in names:
                    self._silent.pop(name, None)
            case "restart":
                for name in names:
                    self._dead.pop(name, None)
                    self.hosts[name].started_s = self.now_s
                self._list([self.hosts[n] for n in names])
            case "drain":
                for name in names:
                    self._dead[name] = float("inf")
                self._list([self.hosts[n] for n in names], "gone")
                return [Order("cut", hosts=names)]
            case "discovery":
                return [Order("see")]
            case "flap":
                self._list([self.hosts[n] for n in names])
            case "relays":
                for n in range(self.spec.relays):
                    zone = self._by_zone[self.spec.zone(n)]
                    if n not in zone:
                        zone.append(n)
                        zone.sort()
                return [Order("revive", endpoints=self._lines())]
        return []

    def _flap(self, number: int, trouble: ScheduledFault) -> None:
        turn = (self.now_s - trouble.start_s) / FLAP_S
        if abs(turn - round(turn)) < 1e-9:
            away = round(turn) % 2 == 0
            self._list([self.hosts[n] for n in self._picked[number]], "gone" if away else "ready", late_s=0.0)

    def _list(
        self, hosts: Iterable[EndpointModel], state: str = "ready", late_s: float = LIST_LATE_S
    ) -> None:
        self._told.append((self.now_s + late_s, [server_line(h, state) for h in hosts]))

    def _lines(self) -> list[decision.Endpoint]:
        return [
            server_line(h, "draining" if h.draining else "ready")
            for k, h in enumerate(self.hosts.values())
            if (k < self.spec.early or self._joined) and h.name not in self._dead
        ]

    # ------------------------------------------------------------ after a step

    def end(self, results: dict[int, StepResult]) -> None:
        """Bring in what the relays did, in their order: nothing depends on who was asked first."""
        until_s = self.now_s + self.step_s
        calls = 0
        for n in range(self.spec.relays):
            calls += self._bring_in(n, results[n], until_s)
        self._store_calls += 0.5 * (calls / self.step_s - self._store_calls)
        cut = [name for name, host in self.hosts.items() if host.fallen and host.count]
        mute = [n for n, since in self._silent.items() if until_s >= since + MUTE_S and self.hosts[n].count]
        if cut or mute:
            self._orders.append(Order("cut", hosts=cut + mute))
        served = np.zeros_like(self._wanting)
        for name, host in self.hosts.items():
            host.pile_up(until_s, self.step_s)
            if name not in self._silent:
                served += self._standing[name] * self._in_time(host, until_s)
        self.now_s = until_s
        if self.now_s == int(self.now_s):
            self._sample(served)

    def _in_time(self, host: EndpointModel, now_s: float) -> Any:
        """By class: the part of the messages that the host answers within the class's aim."""
        fill = host.fill(now_s)
        parts = []
        for cls in self.spec.classes:
            left_ms = cls.message_ms - host.piled_s * 1000.0
            takes_ms = MESSAGE_MS * host.slow / host.size
            parts.append(1.0 - exp(-max(0.0, 1.0 - fill) * left_ms / takes_ms) if left_ms > 0 else 0.0)
        return np.array(parts)[:, None]

    def _bring_in(self, number: int, result: StepResult, until_s: float) -> int:
        series = self.series
        for name, (count, load) in result.intake.items():
            self.hosts[name].take_in(until_s, load, count)
        for name, client in result.joined:
            self.hosts[name].add(client.load, client.group)
            self._standing[name][client.cls, self._members[client.tenant]] += 1
        for name, client in result.left:
            self.hosts[name].remove(client.load, client.group)
            self._standing[name][client.cls, self._members[client.tenant]] -= 1
        for cls, tenant, by in result.wanting:
            self._wanting[cls, self._members[tenant]] += by
        for cls, took_ms in result.set_ups:
            series.set_ups[cls].record_value(max(1, min(HISTOGRAM[1], round(took_ms))))
            if took_ms > self.spec.classes[cls].latency_objective_ms:
                series.counts[f"late_{self.spec.classes[cls].name}"] += 1
        series.counts.update(result.counts)
        for due_s, client in result.back:
            zone = self._by_zone[self.spec.zone(number)]
            due_s = max(due_s, until_s)
            if not client.since_s:
                client.since_s = due_s
            self._returns.setdefault(zone[self.draws.below(len(zone))], []).append((due_s, client))
            series.waited_worth += self.spec.classes[client.cls].worth * (due_s - self.now_s)
        return sum(count for count, _ in result.intake.values())

    def _sample(self, served: Any) -> None:
        series, now_s = self.series, self.now_s
        alive = [h for h in self.hosts.values() if now_s >= h.started_s and h.name not in self._dead]
        capacity = sum(h.capacity for h in alive)
        mean = sum(h.held() for h in alive) / capacity if capacity else 0.0
        series.ratio.append(max(h.held() / h.capacity for h in alive) / mean if mean > 0 else 1.0)
        series.fill.append(mean)
        series.moved_by.append(series.counts["moved"] + series.counts["relieved"])
        series.refused_by.append(series.counts["refused"])
        # One value a class, then one a member: the two ways in which operators look at a day.
        wanted, got = self._wanting * self._worth, served * self._worth
        series.wanted.append([*wanted.sum(axis=1).tolist(), *wanted.sum(axis=0).tolist()])
        series.served.append([*got.sum(axis=1).tolist(), *got.sum(axis=0).tolist()])
        series.worth += float(wanted.sum())
        if round(now_s) % 5 == 0:
            there = {h.name for h in alive}
            series.fills.append([h.fill(now_s) if h.name in there else -1.0 for h in self.hosts.values()])

    def finish(self) -> SimulationResult:
        self.series.fresh_peak = max((h.peak_part for h in self.hosts.values()), default=0.0)
        self.series.fallen = sum(h.fallen for h in self.hosts.values())
        return self.series
