"""One relay in simulated time: the real decision module and the real planner, and clients without sockets."""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

from sageturn import decision
from sageturn.config.settings import read_settings
from sageturn.core.endpoint_snapshot import snapshot_endpoints
from sageturn.lab.fleet_spec import FleetSpec, relay_settings
from sageturn.lab.naive import NaivePlanner
from sageturn.lab.policy import load_policy
from sageturn.lab.sampling import Client, ClientSampler
from sageturn.rebalance.options import RebalanceOptions
from sageturn.rebalance.plan import NO_PLAN
from sageturn.rebalance.planner import RebalancePlanner

MOVERS = ("off", "naive", "on")
BUSY_MS = 4.0  # until a host that turns a request away has said so
NEVER = 1e18


@dataclass(slots=True)
class HostNow:
    """What a relay meets at a host during one step: as it was at the step's start."""

    up: bool
    set_up_ms: float
    full: bool
    silent: bool = False  # neither refuses nor answers


@dataclass(frozen=True, slots=True)
class Order:
    """What befalls the relays or their clients at a step's start.

    rate (arrivals, times the usual), list, blind and see (the watch fails, and is there again), cut (hosts
    that have gone), send_away (a draining host's clients, over a time), drop (part of the clients, over a
    time), kill and revive (relays).
    """

    what: str
    hosts: Sequence[str] = ()
    relays: Sequence[int] = ()
    endpoints: Sequence[decision.Endpoint] = ()
    part: float = 0.0
    over_s: float = 0.0
    rate: float = 1.0
    beyond: float = 1.0


@dataclass(slots=True)
class StepResult:
    """What one relay did in a step, for those who keep the hosts and the clients."""

    intake: dict[str, tuple[int, float]] = field(default_factory=dict)  # by host: set-ups, and load
    joined: list[tuple[str, Client]] = field(default_factory=list)  # by host
    left: list[tuple[str, Client]] = field(default_factory=list)
    wanting: list[tuple[int, str, int]] = field(default_factory=list)  # class, member, +1 or -1
    back: list[tuple[float, Client]] = field(default_factory=list)  # when each comes again, at some relay
    set_ups: list[tuple[int, float]] = field(default_factory=list)  # class, milliseconds since it first asked
    counts: Counter[str] = field(default_factory=Counter)


@dataclass(slots=True)
class _Standing:
    client: Client
    host: str
    since_s: float
    attempt: int  # the one that stands, as the module numbers them


class SimulatedRelay:
    def __init__(
        self, spec: FleetSpec, number: int, mover: str, options: RebalanceOptions, policy: str = ""
    ) -> None:
        """``policy``: the text of another decision module; empty for the present one."""
        self.spec, self.number = spec, number
        self._policy = load_policy(policy)
        self.settings = read_settings({**relay_settings(spec, number), "discovery": "push"})
        self.balancer = self._policy(self.settings, spec.seed * 100003 + number)
        kind = {"on": RebalancePlanner, "naive": NaivePlanner, "off": None}[mover]
        self.planner = kind(self.settings, options, number) if kind is not None else None
        self.draws = ClientSampler(spec, number + 1)
        self.now_s = 0.0
        self._heap: list[tuple[float, int, int, Any]] = []
        self._order = self._last_id = 0
        self._standing: dict[int, _Standing] = {}
        self._asked: dict[int, tuple[Client, str, int]] = {}  # client, host, attempt
        self._tick_s = 0.0
        self._next_arrival_s = self.draws.wait_s(spec.arrivals_per_s / spec.relays)
        self.out = StepResult()
        self._plan = NO_PLAN
        self._rate = self._beyond = 1.0
        self._blind = False
        self._latest: dict[str, decision.Endpoint] = {}
        self.dead = False

    # ------------------------------------------------------------ the module

    def tell(self, event: decision.Event) -> None:
        now_ms = self.now_s * 1000.0
        if self.planner is not None:
            self.planner.before_event(now_ms, event)
        actions = self.balancer.handle(now_ms, event)
        if self.planner is not None:
            self.planner.after_event(now_ms, event, actions)
        for action in actions:
            match action:
                case decision.PlaceRequest(request_id, host, timeout_ms):
                    client, _, attempt = self._asked[request_id]
                    self._asked[request_id] = client, host, attempt + 1
                    self._call(request_id, client, host, attempt, timeout_ms)
                case decision.RejectRequest(request_id, retry_after_ms):
                    client = self._asked.pop(request_id)[0]
                    self.out.counts["refused"] += 1
                    self._come_again(client, retry_after_ms / 1000.0)
                case decision.FailRequest(request_id):
                    self._come_again(self._asked.pop(request_id)[0], 0.0)
                case decision.MigrateConnection(request_id):
                    if request_id in self._standing:
                        self.out.counts["relieved"] += 1
                        self._move(request_id)

    def listed(self, endpoints: Sequence[decision.Endpoint], kind: str = "full") -> None:
        self._latest.update({line.name: line for line in endpoints})
        if not self._blind:
            self.tell(decision.EndpointListEvent(kind, list(endpoints)))

    def stands(self, client: Client, host: str) -> None:
        """It stood before the relay started."""
        self._last_id += 1
        cls = self.spec.classes[client.cls]
        self.tell(
            decision.ConnectionAdopted(
                self._last_id, cls.name, client.tenant, host, client.group, client=client.key
            )
        )
        self.out.wanting.append((client.cls, client.tenant, 1))
        self._begin(self._last_id, client, host, 0)

    def _begin(self, request_id: int, client: Client, host: str, attempt: int) -> None:
        self._standing[request_id] = _Standing(client, host, self.now_s, attempt)
        self.out.joined.append((host, client))
        self._at(self.now_s + client.life_s, 1, request_id)
        self.tell(
            decision.MeasurementReported(
                request_id, attempt, host, "load", client.load * self.spec.unit_us / 1000.0
            )
        )

    def _end(self, request_id: int, status: str) -> Client:
        standing = self._standing.pop(request_id)
        self.out.left.append((standing.host, standing.client))
        client = standing.client
        client.life_s -= self.now_s - standing.since_s
        self.tell(decision.AttemptEnded(request_id, standing.attempt, standing.host, status, True))
        return client

    def _move(self, request_id: int) -> None:
        client = self._end(request_id, "cancelled")
        client.moves += 1
        self._come_again(client, 0.0)

    def _come_again(self, client: Client, advice_s: float) -> None:
        client.tries += 1
        self.out.back.append((self.now_s + max(advice_s, self.draws.gap_s()), client))

    def _at(self, due_s: float, what: int, about: Any) -> None:
        self._order += 1
        heapq.heappush(self._heap, (due_s, self._order, what, about))

    # ------------------------------------------------------------ a step

    def arrive(self, due_s: float, client: Client) -> None:
        self._at(due_s, 0, client)

    def step(self, until_s: float, hosts: dict[str, HostNow]) -> StepResult:
        self._hosts = hosts
        if self.dead:
            self.now_s = self._next_arrival_s = self._tick_s = until_s
            out, self.out = self.out, StepResult()
            return out
        while True:
            due_s = self._heap[0][0] if self._heap else NEVER
            next_s = min(due_s, self._next_arrival_s, self._tick_s)
            if next_s >= until_s:
                break
            self.now_s = max(self.now_s, next_s)
            if next_s == self._tick_s:
                self._tick_s += 1.0
                self._tick()
            elif next_s == self._next_arrival_s:
                self._arrival()
            else:
                _, _, what, about = heapq.heappop(self._heap)
                (self._ask, self._over, self._answered, self._sent_away, self._dropped)[what](about)
        self.now_s = until_s
        out, self.out = self.out, StepResult()
        return out

    def _arrival(self) -> None:
        per_s = self.spec.arrivals_per_s / self.spec.relays * self._rate
        largest, part = next(iter(self.spec.members.items()))
        more = part * (self._beyond - 1.0)
        self._next_arrival_s = self.now_s + self.draws.wait_s(per_s * (1.0 + more))
        client = self.draws.client()
        if more > 0 and self.draws.uniform(0.0, 1.0 + more) < more:
            client.tenant = largest
        self.out.wanting.append((client.cls, client.tenant, 1))
        self._ask(client)

    # ------------------------------------------------------------ what befalls it

    def obey(self, order: Order) -> None:
        match order.what:
            case "rate":
                self._rate, self._beyond = order.rate, order.beyond
            case "list":
                self.listed(order.endpoints, "changes")
            case "blind":
                self._blind = True
                self.tell(decision.EndpointListEvent("failed", []))
            case "see":
                self._blind = False
                self.tell(
                    decision.EndpointListEvent(
                        "full", [s for s in self._latest.values() if s.state != "gone"]
                    )
                )
            case "cut":
                for host in order.hosts:
                    self.cut(host)
            case "send_away":
                for request_id, standing in self._standing.items():
                    if standing.host in order.hosts:
                        self._at(self.now_s + self.draws.uniform(0.0, order.over_s), 3, request_id)
            case "drop":
                for request_id in list(self._standing):
                    if self.draws.uniform(0.0, 1.0) < order.part:
                        self._at(self.now_s + self.draws.uniform(0.0, order.over_s), 4, request_id)
            case "kill":
                if self.number in order.relays:
                    self._die()
            case "revive":
                if self.dead:
                    self._revive(order.endpoints)

    def _die(self) -> None:
        """Its connections die with it, and their clients come again at another relay at once."""
        for standing in self._standing.values():
            client = standing.client
            client.life_s -= self.now_s - standing.since_s
            self.out.left.append((standing.host, client))
            self._come_again(client, 0.0)
        for client, _, _ in self._asked.values():
            self._come_again(client, 0.0)
        waiting = [about for _, _, what, about in self._heap if what == 0]
        for client in waiting:
            self._come_again(client, 0.0)
        self.out.counts["cut"] += len(self._standing)
        self._standing.clear()
        self._asked.clear()
        self._heap.clear()
        self.dead = True

    def _revive(self, endpoints: Sequence[decision.Endpoint]) -> None:
        """It starts from nothing, under its own name."""
        self.dead, self._blind = False, False
        self.balancer = self._policy(self.settings, self.spec.seed * 100003 + self.number + 7919)
        if self.planner is not None:
            self.planner = type(self.planner)(self.settings, self.planner.options, self.number)
        self._tick_s = float(int(self.now_s) + 1)
        self._next_arrival_s = self.now_s
        self.listed(endpoints)

    def _sent_away(self, request_id: int) -> None:
        if request_id in self._standing:
            self._come_again(self._end(request_id, "cancelled"), 0.0)

    def _dropped(self, request_id: int) -> None:
        if request_id in self._standing:
            self.out.counts["dropped"] += 1
            self._come_again(self._end(request_id, "cancelled"), 0.0)

    # ------------------------------------------------------------ a client's way

    def _ask(self, client: Client) -> None:
        self._last_id += 1
        if not client.since_s:
            client.since_s = self.now_s
        cls = self.spec.classes[client.cls]
        self._asked[self._last_id] = client, "", 0
        give_up_ms = self.now_s * 1000.0 + cls.give_up_ms
        self.out.counts["asked"] += 1
        self.tell(
            decision.RequestArrived(
                self._last_id,
                cls.name,
                client.tenant,
                give_up_ms,
                client.group,
                client=client.key,
                returned=client.tries > 0,
            )
        )

    def _call(self, request_id: int, client: Client, host: str, attempt: int, timeout_ms: float) -> None:
        count, load = self.out.intake.get(host, (0, 0.0))
        self.out.intake[host] = count + 1, load + client.load
        now = self._hosts[host]
        if now.silent:
            wait_ms = self.settings.connect_timeout_ms
            self._at(self.now_s + wait_ms / 1000.0, 2, (request_id, attempt, host, "connect_failed", wait_ms))
            return
        if not now.up or now.full:
            status = "full" if now.up else "connect_failed"
            self._at(self.now_s + BUSY_MS / 1000.0, 2, (request_id, attempt, host, status, BUSY_MS))
            return
        # Chance around the usual time: no two set-ups of a host take equally long.
        took_ms = now.set_up_ms * self.draws.uniform(0.6, 1.8)
        if took_ms > timeout_ms:
            about = (request_id, attempt, host, "timeout", timeout_ms)
            self._at(self.now_s + timeout_ms / 1000.0, 2, about)
            return
        self._at(self.now_s + took_ms / 1000.0, 2, (request_id, attempt, host, "", took_ms))

    def _answered(self, about: tuple[int, int, str, str, float]) -> None:
        request_id, attempt, host, status, took_ms = about
        asked = self._asked.get(request_id)
        if asked is None:
            return
        if status:
            self.tell(decision.AttemptEnded(request_id, attempt, host, status, False))
            return
        client = self._asked.pop(request_id)[0]
        self.tell(decision.ConnectionEstablished(request_id, attempt, host, took_ms))
        self.out.set_ups.append((client.cls, (self.now_s - client.since_s) * 1000.0))
        client.since_s, client.tries = 0.0, 0
        self._begin(request_id, client, host, attempt)

    def _over(self, request_id: int) -> None:
        if request_id in self._standing:
            client = self._end(request_id, "ok")
            self.out.wanting.append((client.cls, client.tenant, -1))

    def cut(self, host: str) -> None:
        """The host has fallen: all that it held breaks."""
        for request_id in [i for i, s in self._standing.items() if s.host == host]:
            client = self._end(request_id, "reset")
            self.out.counts["cut"] += 1
            self._come_again(client, 0.0)

    def state(self) -> dict[str, object]:
        if self.planner is None:
            return {}
        return self.planner.encode_state(self._plan)

    def _tick(self) -> None:
        if self.planner is None:
            return
        now_ms = self.now_s * 1000.0
        plan = self._plan = self.planner.tick(now_ms, snapshot_endpoints(self.balancer, now_ms), 720)
        if not plan.migrations:
            return
        moved = {move.request_id for move in plan.migrations} & self._standing.keys()
        self._audit(moved)
        for request_id in sorted(moved):
            self.out.counts["moved"] += 1
            if self.spec.classes[self._standing[request_id].client.cls].name == "guest-checkin":
                self.out.counts["checkin_moved"] += 1
            if self._standing[request_id].client.moves:
                self.out.counts["moved_twice"] += 1
            self._move(request_id)

    def _audit(self, moved: set[int]) -> None:
        """Groups of which some at a host are moved and some are left: counted here, from the connections."""
        parts = {(s.host, s.client.group) for i in moved if (s := self._standing[i]).client.group}
        split = set()
        for i, s in self._standing.items():
            if i not in moved and (s.host, s.client.group) in parts:
                split.add((s.host, s.client.group))
        self.out.counts["groups_moved"] += len(parts)
        self.out.counts["groups_split"] += len(split)
