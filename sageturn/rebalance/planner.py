"""Who is asked to come again. Where they land stays with the decision module.

No I/O and no clock: the module's own events and actions go in as they pass, the hosts as the module sees
them at each tick; moves come out, each with its reason. The same input gives the same moves.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from sageturn import decision
from sageturn.core.endpoint_snapshot import EndpointSnapshot, OperatorMarks
from sageturn.rebalance.balance import Balance, EndpointUtilization, weigh
from sageturn.rebalance.book import ConnectionTable
from sageturn.rebalance.clients import Clients, client_number
from sageturn.rebalance.options import RebalanceOptions
from sageturn.rebalance.pace import MigrationRateController, Sign
from sageturn.rebalance.signs import OverloadSignals
from sageturn.rebalance.units import PASSING, Block, MigrationBatch, Sight, parting, units

SIGHT = 2000  # connections looked at in a tick at most
ROOM_PART = 0.5  # of the set-ups that hosts have room for, moved clients may take this; newcomers need some
LOW_TIMES = 2.0  # a host may be this much further under the mean than over it before planning starts
UNREACHABLE_MS = 30000.0  # what cannot be balanced now is looked at again then
USEFUL_NEW, USEFUL_LEAST = 0.05, 0.2  # weight of one landing; under this part of useful ones moving stops
USELESS_MS = 60000.0
USEFUL_BY = 0.02  # a landing is useful where the host was this much less full, in means
SPARED_MS = 60000.0  # so long the module leaves alone whom the planner has moved
GAP_PART = 0.75  # of the gap between two hosts goes in one unit: more would only turn it round


@dataclass(frozen=True, slots=True)
class Migration:
    request_id: int
    reason: str


@dataclass(frozen=True, slots=True)
class MigrationPlan:
    """``phase`` is one word for what the planner does, ``why`` a line for the operator.

    ``dry-run`` is the one phase whose moves are not to be made.
    """

    moves: tuple[Migration, ...]
    phase: str
    why: str


@dataclass(slots=True)
class _Asked:
    at_ms: float
    pair: tuple[str, str]
    group: str
    client: int
    returned: bool = False


class RebalancePlanner:
    def __init__(self, settings: decision.Settings, options: RebalanceOptions, seed: int) -> None:
        self.settings = settings
        self._aims = {c.name: c.latency_objective_ms for c in settings.classes}
        self.book = ConnectionTable()
        self.clients = Clients(options)
        self.pace = MigrationRateController(options, settings.relay_count, Random(seed))
        self.signs = OverloadSignals(1.0 / settings.relay_count)
        self.balances: list[Balance] = []
        self.blocks: Counter[Block] = Counter()
        self.counts: Counter[str] = Counter()
        self.useful = 1.0
        self.active = False
        self._asked: dict[int, _Asked] = {}
        self._leaving: set[int] = set()
        self._ratios: dict[str, float] = {}
        self._rest_until_ms, self._rest = 0.0, ("", "")
        self._late_before = 0  # late returns by the last tick
        self._zones: set[str] = set()
        self.marks = OperatorMarks()
        self._set_options(options)

    # ------------------------------------------------------------ settings

    @property
    def options(self) -> RebalanceOptions:
        return self._options

    @options.setter
    def options(self, options: RebalanceOptions) -> None:
        self._set_options(options)
        self._rest_until_ms = 0.0  # what could not be done may be possible now

    def _set_options(self, options: RebalanceOptions) -> None:
        self._options = self.clients.options = self.pace.options = options

    # ------------------------------------------------------------ events

    def before_event(self, now_ms: float, event: decision.Event) -> None:
        """Says to the module, in the request itself, that its client was moved for balance just now."""
        if not isinstance(event, decision.RequestArrived) or not len(self.clients):
            return  # while nobody was moved there is nothing to say
        client = client_number(event.client)
        moved = self.clients.last_move(client)
        if moved is not None and moved.by_plan:
            event.spared_until_ms = min(moved.until_ms, moved.at_ms + SPARED_MS)
            if client in self.clients.on_way:
                event.moved_off = moved.off
                if self.marks.rebalance_excluded and event.allowed is None:
                    event.allowed = frozenset(self._ratios.keys() - self.marks.rebalance_excluded)

    def after_event(self, now_ms: float, event: decision.Event, actions: Sequence[decision.Action]) -> None:
        match event:
            case decision.RequestArrived():
                self.signs.asked(now_ms)
                about = event.class_name, event.tenant, event.group
                self.expect(now_ms, event.id, about, event.client)
                self._asked[event.id].returned = event.returned
            case decision.ConnectionAdopted():
                about = event.class_name, event.tenant, event.group
                age_ms = self._options.least_age_s * 1000.0
                self.adopt(now_ms, event.id, event.endpoint, about, event.client, now_ms - age_ms)
            case decision.ConnectionEstablished():
                self._stands(now_ms, event)
            case decision.AttemptEnded():
                self._ended(now_ms, event)
            case decision.MeasurementReported(kind="load"):
                self.book.load(event.id, event.value)
            case decision.EndpointListEvent():
                self.signs.listed(event.kind == "failed")
        for action in actions:
            match action:
                case decision.RejectRequest(request_id) | decision.FailRequest(request_id):
                    self._asked.pop(request_id, None)
                    self.signs.refused(now_ms)
                case decision.MigrateConnection(request_id):
                    self.on_migrated_by_others(now_ms, request_id)

    def expect(self, now_ms: float, request_id: int, about: tuple[str, str, str], client: str) -> None:
        """A request that is not answered yet; ``about``: its class, tenant and group."""
        self._asked[request_id] = _Asked(now_ms, about[:2], about[2], client_number(client))

    def adopt(
        self,
        now_ms: float,
        request_id: int,
        host: str,
        about: tuple[str, str, str],
        client: str,
        since_ms: float,
    ) -> None:
        """A connection that stood before the planner, or the relay, was there."""
        since_ms = min(now_ms, since_ms)
        self.book.add(since_ms, request_id, host, about[2], about[:2], client_number(client))

    def on_migrated_by_others(self, now_ms: float, request_id: int) -> None:
        """The module or a drain moves a connection: never held back, and paid for from the same budget."""
        if request_id not in self._leaving:
            self.counts["by_others"] += 1
            self.pace.charge(1)
            self._leave(now_ms, request_id, by_plan=False)

    def _leave(self, now_ms: float, request_id: int, by_plan: bool) -> None:
        if request_id not in self.book:
            return
        host, group = self.book.place_of(request_id)
        self.clients.move(self.book.client_of(request_id), host, group, now_ms, by_plan)
        self._leaving.add(request_id)

    def _stands(self, now_ms: float, event: decision.ConnectionEstablished) -> None:
        asked = self._asked.pop(event.id, None)
        if asked is None:
            return
        late = now_ms - asked.at_ms > self._aims.get(asked.pair[0], float("inf"))
        self.signs.set_up(now_ms, late)
        self.book.add(now_ms, event.id, event.endpoint, asked.group, asked.pair, asked.client)
        moved = self.clients.stands(asked.client)
        if moved is None:
            if asked.returned:
                self.clients.returned(asked.client, now_ms)
            return
        self.signs.back(now_ms)
        self.counts["back"] += 1
        if moved.by_plan:
            self.counts["back_late"] += late
            landed, left = self._ratios.get(event.endpoint, 1.0), self._ratios.get(moved.off, 1.0)
            good = event.endpoint != moved.off and landed < left - USEFUL_BY
            self.counts["landed_well" if good else "landed_ill"] += 1
            self.useful += USEFUL_NEW * (good - self.useful)

    def _ended(self, now_ms: float, event: decision.AttemptEnded) -> None:
        if self.book.remove(event.id):
            if event.status == "reset":
                self.signs.reset(now_ms)
        elif event.status in ("connect_failed", "timeout"):
            self.signs.unreachable(now_ms)
        self._leaving.discard(event.id)
        if event.final:
            self._asked.pop(event.id, None)

    # ------------------------------------------------------------ a tick

    def tick(
        self, now_ms: float, hosts: Sequence[EndpointSnapshot], minute: int, stopping: bool = False
    ) -> MigrationPlan:
        """``minute`` of the UTC day; ``stopping``: the relay itself is about to leave, and moves everyone."""
        options = self._options
        self.clients.forget(now_ms)
        lost = self.clients.lost(now_ms)
        self.counts["not_back"] += lost
        self.signs.not_back(now_ms, lost)
        signs = self.signs.read(now_ms, self.book, hosts, self.marks.out_of_service)
        self.pace.advance(now_ms, len(self.book), signs, self._doing_well())
        self._weigh(hosts)
        if stopping:
            return MigrationPlan((), "stopping", "the relay leaves and moves everyone itself")
        cleared = self._clear(now_ms, hosts)
        if cleared is not None:
            return cleared
        if options.mode == "off":
            return MigrationPlan((), "off", "turned off")
        if options.quiet(minute):
            return MigrationPlan((), "quiet", "quiet hours")
        self._see_active()
        if not self.active:
            return MigrationPlan((), "balanced", self._measure())
        if now_ms < self.pace.stopped_until_ms or not self.pace.rate:
            sign = self.pace.sign
            why = f"{sign.name.lower()}: {sign.value}" if sign else "settling after a start"
            return MigrationPlan((), "held", why)
        if now_ms < self._rest_until_ms:
            return MigrationPlan((), *self._rest)
        if self.useful < USEFUL_LEAST:
            self.useful = 0.5
            return self._take_rest(now_ms, USELESS_MS, "useless", "moved clients land where it is as full")
        return self._plan(now_ms, hosts)

    def _clear(self, now_ms: float, hosts: Sequence[EndpointSnapshot]) -> MigrationPlan | None:
        """Hosts that an operator clears: everyone goes, in whatever mode, at the same pace as any move."""
        full = [self.book.hosts[name] for name in sorted(self.marks.evacuating) if name in self.book.hosts]
        if not full or now_ms < self.pace.stopped_until_ms or not self.pace.rate:
            return None
        whole, room = self._room(hosts)
        largest = max(1, min(whole, self._options.burst))
        moves: list[Migration] = []
        for held in full:
            reason = f"{held.name} is cleared by an operator"
            for unit in parting(self.book, held, largest, now_ms, self.clients, self._leaving):
                if self._may_go(unit, room - len(unit.ids)):
                    break
                room -= len(unit.ids)
                self._go(now_ms, unit, reason, moves, really=True)
        left = sum(held.count for held in full)
        return MigrationPlan(tuple(moves), "clearing", f"{left} still there") if moves else None

    def _room(self, hosts: Sequence[EndpointSnapshot]) -> tuple[int, int]:
        """Set-ups that moved clients may take: in all, and beyond those that are on the way.

        Whoever is on the way lands somewhere soon; those who went to other relays count until their time is
        up, since what these have asked to move may come here in their place.
        """
        whole = int(ROOM_PART * sum(h.available_capacity for h in hosts if h.ready))
        return whole, whole - len(self.clients.on_way)

    def _take_rest(self, now_ms: float, rest_ms: float, phase: str, why: str) -> MigrationPlan:
        self._rest_until_ms, self._rest = now_ms + rest_ms, (phase, why)
        return MigrationPlan((), phase, why)

    def _doing_well(self) -> bool:
        """No late return since the last tick."""
        before, self._late_before = self._late_before, self.counts["back_late"]
        return before == self._late_before

    def _weigh(self, hosts: Sequence[EndpointSnapshot]) -> None:
        st = self.settings
        zones = {host.zone for host in hosts if host.ready}
        by_zone = st.cross_zone_cost > 0 and len(zones) > 1
        sharers = max(1.0, st.relay_count / len(zones)) if by_zone else float(st.relay_count)
        if zones != self._zones:
            # Clients come back through their zone's relays: alone there, all of them are seen again.
            self._zones = zones
            self.signs.expect_back(1.0 / max(1.0, st.relay_count / max(1, len(zones))))
        self.balances = weigh(self.book, hosts, sharers, by_zone, st.groups)
        self._ratios = {fill.name: fill.ratio for balance in self.balances for fill in balance.fills}

    def _see_active(self) -> None:
        """Starts above one bound and stops under a lower one, or chance would turn it on and off."""
        bound = (self._options.stop if self.active else self._options.start) - 1.0
        self.active = any(
            b.fullest > 1.0 + bound or b.emptiest < 1.0 - LOW_TIMES * bound for b in self.balances
        )

    def _measure(self) -> str:
        fullest = max((b.fullest for b in self.balances), default=1.0)
        emptiest = min((b.emptiest for b in self.balances), default=1.0)
        return f"fullest {fullest:.2f} and emptiest {emptiest:.2f} of the mean"

    # ------------------------------------------------------------ choosing

    def _plan(self, now_ms: float, hosts: Sequence[EndpointSnapshot]) -> MigrationPlan:
        self.blocks = Counter()
        sight = Sight(SIGHT)
        moves: list[Migration] = []
        whole, room = self._room(hosts)
        largest = min(whole, self._options.burst)
        waits = ""
        for balance in sorted(self.balances, key=lambda b: -b.fullest):
            waits = self._plan_set(balance, now_ms, sight, room - len(moves), largest, moves) or waits
        if moves:
            if self._options.mode == "dry-run":
                return MigrationPlan(tuple(moves), "dry-run", self._measure())
            return MigrationPlan(tuple(moves), "balancing", self._measure())
        if waits:
            return MigrationPlan((), "waiting", waits)
        if not any(block in PASSING for block in self.blocks):
            why = f"{self._measure()}: {self._in_way()}"
            return self._take_rest(now_ms, UNREACHABLE_MS, "unreachable", why)
        return MigrationPlan((), "waiting", self._in_way())

    def _in_way(self) -> str:
        told = (f"{count} {block.value}" for block, count in self.blocks.most_common())
        return "; ".join(told) or "no host has room for more"

    def _plan_set(
        self, balance: Balance, now_ms: float, sight: Sight, room: int, largest: int, moves: list[Migration]
    ) -> str:
        """Adds to ``moves`` what may go now; returns what it waits for, if there is more to be done."""
        stop = self._options.stop - 1.0
        if balance.fullest <= 1.0 + stop and balance.emptiest >= 1.0 - LOW_TIMES * stop:
            return ""
        # Where one is empty, and none much too full, all that are above the mean give a little.
        floor = 1.0 + stop if balance.fullest > 1.0 + stop else 1.0
        held_back = self.marks.rebalance_excluded
        takers = [f for f in balance.fills if f.ratio < 1.0 and f.room > 0 and f.name not in held_back]
        if not takers:
            return "no emptier host has room"
        ratios = {f.name: f.ratio for f in balance.fills}
        for donor in sorted(balance.fills, key=lambda f: (-f.ratio, f.name)):
            if donor.ratio <= floor:
                break
            held = self.book.hosts.get(donor.name)
            if held is None or donor.name in held_back:
                continue
            taker = min(takers, key=lambda f: (ratios[f.name], f.name))
            most = self._fits(donor, taker, ratios)
            found = units(
                self.book,
                held,
                most,
                largest,
                now_ms,
                self._options,
                self.clients,
                self._leaving,
                sight,
                self.blocks,
            )
            for unit in found:
                if unit.load > self._fits(donor, taker, ratios):
                    continue  # it would have fitted before the others of this tick
                waits = self._may_go(unit, room - len(unit.ids))
                if waits:
                    return waits
                room -= len(unit.ids)
                ratios[donor.name] -= unit.load / donor.due
                ratios[taker.name] += unit.load / taker.due
                reason = f"{donor.name} at {donor.ratio:.2f} of the mean: {unit.what}"
                self._go(now_ms, unit, reason, moves, really=self._options.mode == "on")
                taker = min(takers, key=lambda f: (ratios[f.name], f.name))
                if ratios[donor.name] <= floor:
                    break
        return ""

    def _fits(
        self, donor: EndpointUtilization, taker: EndpointUtilization, ratios: dict[str, float]
    ) -> float:
        """The largest load whose move brings the two nearer, and leaves the donor not much under the mean."""
        least = 1.0 - LOW_TIMES * (self._options.stop - 1.0)
        gap = ratios[donor.name] - ratios[taker.name]
        return min(GAP_PART * gap * taker.due, (ratios[donor.name] - least) * donor.due)

    def _may_go(self, unit: MigrationBatch, room_left: int) -> str:
        count = len(unit.ids)
        if room_left < 0:
            return f"{len(self.clients.on_way)} on the way, no room for {count} more"
        if not self.clients.room_for(count):
            return "as many moved clients remembered as there is room for"
        if not self.pace.take(count):
            return f"saves for {unit.what}: {max(0.0, self.pace.tokens):.1f} saved"
        return ""

    def _go(
        self, now_ms: float, unit: MigrationBatch, reason: str, moves: list[Migration], really: bool
    ) -> None:
        moves.extend(Migration(request_id, reason) for request_id in unit.ids)
        if really:
            self.counts["moved"] += len(unit.ids)
            self.counts["units"] += 1
            for request_id in unit.ids:
                self._leave(now_ms, request_id, by_plan=True)
        else:
            self.counts["would_move"] += len(unit.ids)

    # ------------------------------------------------------------ for operators

    def state(self, plan: MigrationPlan) -> dict[str, object]:
        return {
            "mode": self._options.mode,
            "phase": plan.phase,
            "why": plan.why,
            "fullest": round(max((b.fullest for b in self.balances), default=1.0), 3),
            "emptiest": round(min((b.emptiest for b in self.balances), default=1.0), 3),
            "trust": round(max((b.trust for b in self.balances), default=0.0), 2),
            "per_s": round(self.pace.rate, 3),
            "top_per_s": round(self.pace.top(len(self.book)), 3),
            "saved": round(self.pace.tokens, 1),
            "on_way": len(self.clients.on_way),
            "remembered": len(self.clients),
            "useful": round(self.useful, 2),
            "counts": dict(sorted(self.counts.items())),
            "signs": dict(sorted(self.signs.seen.items())),
            "in_the_way": {block.name.lower(): count for block, count in self.blocks.items()},
        }


__all__ = ["EndpointSnapshot", "Migration", "MigrationPlan", "RebalancePlanner", "Sign"]
