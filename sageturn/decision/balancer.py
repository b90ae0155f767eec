"""All decisions of a sageturn balancer. Settings, events and actions: see interface.py.

One Balancer decides for one relay from its own events alone. Reading order: depth, curve, buckets,
placement, attempts, health and list, cold starts.
"""

from __future__ import annotations

from collections.abc import Callable
from math import ceil, exp, log
from random import Random
from typing import Any
from zlib import crc32

from sageturn.decision import actions, events, quotas
from sageturn.decision.discovery_backoff import DiscoveryBackoff
from sageturn.decision.health_checks import LOOK_MS, HealthCheckScheduler
from sageturn.decision.settings import NOT_EXECUTED_STATUSES, RequestClass, Settings
from sageturn.decision.slow_start import UNKNOWN_PER_S, SlowStartState, SlowStartBudget

LIMIT_START = 8  # pending connections a server is trusted with before it has shown anything
LIMIT_TOP = 32  # growth stops here, or a long quiet spell would make depth blind
BLIND_TOP = 2  # of the servers on which we hold nothing, the first limits of so many count at most
CURVE_STEPS = 64  # cells of the curve's table
FREE_DEPTH = 0.25  # below this depth nobody is throttled
CURVE_TOP = 4.0  # refill just past the free part, in fair shares of the tenants' allowances
FULL_LOAD = 1e6  # added to a full server's load, so that it loses against any other
DRAWS = 8  # draws at most to find a pair, as some servers may be ruled out
BURST_S = 2.0  # a bucket holds what one fair share brings in this time
BURST_LEAST = 2.0  # and always a pair, so that a lone tenant's two tabs both open
RETRY_LEAST_MS = 100.0  # shortest advice on when to come again
SUSPECT = 3  # failures in a row that put a server out; a failed connect counts double
OUT_MS = 1500.0  # time out; back then, its next failure puts it out again
OUT_SHARE = 0.34  # never more of the listed ready servers out than this
OVER = 1.2  # a tenant is beyond its share above this many times its quota's part of one balancer
LATE_PART = 0.34  # of the shortest message aim: longer messages show a server near its capacity
MOVE_AIM = 0.5  # of the shortest message aim: a server with longer delays is relieved
MOVE_DEAR = 0.1  # a dearer price of moves than this rules them out
MOVE_PART = 0.1  # of the connections held there, and one over all balancers, go at a note,
MOVE_MORE = 0.01  # and this more for each balancer: clients moved come back through those not told,
MOVE_MOST = 0.35  # up to this part
LATE_HOLD_MS = 2500.0  # a server noted late is closed this long; notes are renewed each second
REVIEW_MS = 50.0  # closed servers are looked at again this often
ROOM_CUT = 0.8  # of what it held when it went late is the room a server has left
ROOM_GROW = 0.03  # room regained a second, as a part of it; one connection at least unless scarce
ROOM_FAST = 15.0  # connections that a server regains a second over all balancers, at the least
ROOM_LEAST = 3.0  # the same while servers are scarce
CROWD_OVER, CROWD_LEAST = 1.25, 2.0  # times its part of our connections, and these more, crowd a server
GROUP_COST = 1.5  # mean loads that a server pays for each group of which it holds any
GROUP_PRIOR = 0.02  # part of all connections that a group is taken to have,
GROUP_DOUBT = 10.0  # as if seen in so many connections: what a few of our own tell is mostly chance
RANKED_MOST = 500  # groups whose servers are kept in order: most of those refused are not seen again
SOFT_HEAVIER = 2.0  # a server that such signs speak against counts as so much heavier: signs, not proof
WEIGH_MS = 1000.0  # where no delays are told, a server's loads are weighed this often
SHED_LEAST, SHED_MS, SHED_GROW = 2, 2000.0, 0.3  # resets within so long of each other; room regained a second
SPENT_AT = 0.8  # part of what its size carries by estimate: it takes nothing more
FULL_AT, FULL_OVER = 0.6, 1.15  # part of what its size carries, and times the mean: it counts as late
MOVE_AT, MOVE_OVER = 0.7, 1.3  # and from here on it is relieved
LAG_NEW, LAG_FREE, LAG_LATE = 0.5, 0.4, 0.8  # weight of the latest set-up; a lag that counts; a slow server's
LAG_FADE_MS, USUAL_NEW = 9000.0, 0.1  # a lag fades in so long; weight of a set-up in what is usual for all
QUOTA_WAIT_MS = 1000.0  # advice when no server has room by the quotas
RELIEF_PER_S = 8.0  # connections moved off servers beyond that, over all balancers

HELD, PENDING, OPEN = range(3)
Arrival = events.RequestArrived | events.ConnectionAdopted


class _Server:
    """What this balancer knows of one server."""

    def __init__(self, line: events.Endpoint, odd: float = 0.0) -> None:
        self.name, self.zone, self.cell = line.name, line.zone, line.cell
        self.hash = crc32(line.name.encode())
        self.kind, self.state = line.kind, line.state
        self.started_ms = line.started_at_ms
        self.open = 0  # own connections, pending ones too
        self.pending, self.limit = 0, LIMIT_START
        self.fresh = True  # none of our connections has stood since it (re)started
        self.ready = False  # listed ready and not put out
        self.fails = 0
        self.out_until_ms = 0.0  # above 0: put out; back then, and out again at its next failure
        self.cold: SlowStartState | None = None  # our turns at it while it warms up
        self.sheds, self.shed_ms = 0, 0.0  # resets in a row of connections that stood
        self.spent_until_ms = self.soft_until_ms = 0.0  # till then beyond what it can do; fuller than others
        self.late_until_ms = self.weigh_ms = 0.0
        self.took = self.took_ms = 0.0  # mean of the logs of its latest set-up times, and as of when
        # Of our connections, by its size and zone; its size by its kind too; by the list and operators alone.
        self.part, self.size, self.share = 0.0, 1.0, 1.0
        self.conns: dict[int, _Request] = {}  # own connections that stand
        self.work, self.heard = 0.0, 0  # sum of the loads told of these, and of how many
        self.room = float("inf")  # own connections it can hold, once it has shown that it cannot hold all
        self.room_ms = self.chance = 0.0
        # Own connections it can hold by the quotas, and what rounds them: each balancer's part is a fraction.
        self.most, self.odd = float("inf"), odd
        self.sharers: float = 1.0  # balancers that may hold one there by these parts
        self.groups: dict[str, int] = {}  # own connections by group
        self.closed = False  # late or out of room: counts as full
        self.in_pending = self.in_limit = self.in_blind = self.in_open = 0  # its part of the sums

    def full(self) -> bool:
        return self.closed or self.pending >= self.limit

    def beyond(self) -> bool:  # one more than our part of what it can hold by the quotas
        return self.open + 1 > self.most + self.odd


class _Request:
    """A request held or a connection open."""

    __slots__ = ("id", "cls", "give_up_ms", "objective_ms", "endpoint", "attempts", "state", "done",
                 "midflow", "ran_zone", "ran_cell", "ran_ms", "sent_ms", "group", "load", "told", "tenant",
                 "spared_ms", "allowed", "strict")  # fmt: skip

    def __init__(self, e: Arrival, cls: RequestClass, give_up_ms: float, objective_ms: float) -> None:
        self.id, self.cls, self.give_up_ms, self.objective_ms = e.id, cls, give_up_ms, objective_ms
        self.group, self.tenant, self.load = e.group, e.tenant, e.expected_load
        self.told = 0.0  # its load, as the server last told it
        self.midflow = isinstance(e, events.RequestArrived) and e.midflow
        self.endpoint: _Server | None = None  # of the latest attempt
        self.attempts = 0
        self.state = HELD
        self.allowed: frozenset[str] | None = None  # by an operator's pin; strict: on every attempt
        self.strict = self.done = False  # done: answered or given up; only an outcome is still to come
        self.ran_zone, self.ran_cell, self.ran_ms = "", 0, -1.0  # first attempt that may have run
        self.sent_ms = self.spared_ms = 0.0


class Balancer:
    """``handle`` takes one event and returns the actions it calls for, in order."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.rng = Random(seed)
        self.size, self.share = 1.0, 1.0  # of all ready servers; the mean of theirs by the list
        self.usual = 0.0  # the log of set-up times lately
        self.told = [0.0, 0.0]  # sum and count of the loads told
        self.speeds = quotas.MachineKindSpeeds()
        self.sized = settings.weights in ("nominal", "rough")
        self.classes = {c.name: c for c in settings.classes}
        objectives = [c.message_latency_objective_ms for c in settings.classes]
        aims = [objective_ms for objective_ms in objectives if objective_ms > 0]
        self.late_ms = min(aims, default=100.0) * LATE_PART
        self.move_ms = min(aims, default=100.0) * MOVE_AIM
        self.probes = HealthCheckScheduler(settings, self.late_ms, self.rng)
        self.endpoints: dict[str, _Server] = {}
        self.own_zone = settings.zone if settings.cross_zone_cost else None  # where crossings are priced
        # All zones that were ever listed, in that order: their relays bring clients, servers or not.
        self.zones = {settings.zone: None}
        self.ready: list[_Server] = []
        self.near: list[_Server] = []  # the ready ones of our zone, where crossings are priced
        self.out: list[_Server] = []
        self.requests: dict[int, _Request] = {}
        self.ramp = SlowStartBudget(settings, self.rng)
        self.most, self.odd = float("inf"), self.ramp.rounding(0)
        self.warm_part, self.warm_full = 1.0, False  # of all sizes; used up: the rest is for cold servers
        self.open = 0  # own connections, pending ones too
        self.sharers: float = settings.relay_count  # balancers that share what one server can hold
        self.first_listed = 0  # the fleet that the quotas are for: those that drain have successors in it
        self.held = {t.name: 0 for t in settings.tenants}  # the same by tenant
        # What a tenant may hold at one balancer before it is beyond its share.
        self.fill = {t.name: t.quota_connections * OVER / settings.relay_count for t in settings.tenants}
        self.group_open: dict[str, int] = {}  # the same by group
        self.ranked: dict[str, list[_Server]] = {}  # by group: servers in the order of its hashes
        self.closed: dict[str, _Server] = {}
        self.sum_pending = self.sum_limits = self.sum_open = 0  # over ready servers
        self.sum_blind = 0  # limits of ready servers on which we hold nothing
        self.watching: bool | None = None  # None: nobody has asked for the list yet
        pushed = settings.discovery == "push"
        self.calls = DiscoveryBackoff(settings.relay_count, settings.max_poll_interval_ms, self.rng, pushed)
        self.actions: list[actions.Action] = []
        self.now_ms = self.review_ms = self.ease_ms = 0.0
        self.handlers: dict[type, Callable[[float, Any], None]] = {
            events.RequestArrived: self._on_request, events.ConnectionEstablished: self._on_first_sign,
            events.AttemptEnded: self._on_outcome, events.MeasurementReported: self._on_note,
            events.ClientDisconnected: self._on_client_gone, events.EndpointListEvent: self._on_list,
            events.ConnectionAdopted: self._on_inherited, events.TimerFired: self._on_timer,
            events.HealthCheckCompleted: self._on_probed,
        }  # fmt: skip
        # Curve units: an equal part of all allowances, for one tenant at one balancer.
        tenants = max(1, len(settings.tenants))
        setups_per_s = sum(t.allowance_per_s for t in settings.tenants) or UNKNOWN_PER_S
        self.quota = sum(t.quota_connections for t in settings.tenants)
        fair = setups_per_s / tenants / settings.relay_count / 1000.0
        depths = [step / CURVE_STEPS for step in range(CURVE_STEPS + 1)]
        falling = [fair * CURVE_TOP * ((1.0 - depth) / (1.0 - FREE_DEPTH)) for depth in depths]
        self.curve = [f if d >= FREE_DEPTH else float("inf") for d, f in zip(depths, falling, strict=True)]
        self.burst = max(BURST_LEAST, fair * 1000.0 * BURST_S)
        settle_ms = min(c.latency_objective_ms for c in settings.classes)
        self.window = quotas.SetupWindow(setups_per_s, settings.relay_count, settle_ms, self.rng)
        self.buckets: dict[str, list[float]] = {t.name: [self.burst, 0.0] for t in settings.tenants}
        self.buckets.setdefault("", [self.burst, 0.0])  # tenants that the settings do not name

    def handle(self, now_ms: float, event: events.Event) -> list[actions.Action]:
        self.actions, self.now_ms = [], now_ms
        self.handlers[type(event)](now_ms, event)
        return self.actions

    # ------------------------------------------------------------ 1 depth

    def _depth(self) -> float:
        """Pending over limits, summed across ready servers; 1 where none is ready."""
        limits = self.sum_limits + min(self.sum_blind, BLIND_TOP * LIMIT_START)
        return min(1.0, self.sum_pending / limits) if limits else 1.0

    def _sum(self, s: _Server) -> None:
        """Bring the server's part of the sums up to date; a closed one counts as full."""
        pending = limit = blind = opened = 0
        if s.ready and (s.open or s.closed):
            # Closed by loads alone it does not count: then the others have room, and nobody need wait.
            full = s.closed and self._sees_delay()
            pending, limit, opened = s.limit if full else min(s.pending, s.limit), s.limit, s.open
        elif s.ready:
            blind = s.limit
        self.sum_blind += blind - s.in_blind
        self.sum_pending += pending - s.in_pending
        self.sum_limits += limit - s.in_limit
        self.sum_open += opened - s.in_open
        s.in_pending, s.in_limit, s.in_blind, s.in_open = pending, limit, blind, opened

    def _count(self, s: _Server, pending: int, opened: int) -> None:
        s.pending += pending
        self.window.out += pending
        s.open += opened
        self._sum(s)

    def _count_held(self, r: _Request, by: int) -> None:
        group = r.group
        self.open += by
        if r.tenant in self.held:
            self.held[r.tenant] += by
        if self.settings.groups and group:
            if r.endpoint is not None:
                here = r.endpoint.groups.get(group, 0) + by
                if here:
                    r.endpoint.groups[group] = here
                else:
                    del r.endpoint.groups[group]
            count = self.group_open.get(group, 0) + by
            if count:
                self.group_open[group] = count
            else:
                del self.group_open[group]
                self.ranked.pop(group, None)

    def _set_limit(self, s: _Server, limit: int) -> None:
        s.limit = max(1, min(LIMIT_TOP, limit))
        self._sum(s)

    # One whose messages run late counts as full until it is well, and then has room for fewer than it held.
    def _strained(self, now_ms: float, s: _Server, held: int) -> None:
        if not s.late_until_ms or now_ms >= s.late_until_ms:
            # Chance rounds it, or one connection at each of many balancers would always be let in again.
            s.room, s.chance = min(s.room, held * ROOM_CUT), self.rng.random()
        s.late_until_ms = now_ms + LATE_HOLD_MS
        s.room_ms = now_ms
        self._review(now_ms, s)

    def _review(self, now_ms: float, s: _Server) -> None:
        late = now_ms < s.late_until_ms
        if s.room != float("inf") and not late:
            # While servers are scarce, waiting clients fill at once what all balancers open up together.
            least = ROOM_FAST if self._depth() < FREE_DEPTH else ROOM_LEAST
            slowly = s.sheds >= SHED_LEAST and not self._sees_delay()  # nothing says it is well again
            pace = SHED_GROW if slowly else max(min(1.0, least / self.sharers), ROOM_GROW * s.room)
            s.room += pace * max(0.0, now_ms - s.room_ms) / 1000.0
            s.room_ms = now_ms
        s.closed = late or s.open >= s.room - s.chance
        if s.closed:
            self.closed[s.name] = s
        else:
            self.closed.pop(s.name, None)
        self._sum(s)

    def _review_closed(self, now_ms: float) -> None:
        if now_ms >= self.review_ms:
            self.review_ms = now_ms + REVIEW_MS
            self._share_out()
            for s in list(self.closed.values()):
                self._review(now_ms, s)
            for s in [s for s in self.out if now_ms >= s.out_until_ms]:
                s.out_until_ms, s.fails, s.limit = 0.0, SUSPECT - 1, 1  # one connection at a time, at first
                self._relist()

    def _gate(self, now_ms: float) -> float:
        """0 when another set-up may start, else after how long to come again."""
        full = self.sum_open + 1 > self.most + self.odd  # those on servers that drain find room elsewhere
        return QUOTA_WAIT_MS if full else self.window.wait_ms(now_ms)

    # ------------------------------------------------------------ 2 curve, 3 buckets

    def _take_token(self, now_ms: float, tenant: str) -> float:
        """0 when the tenant's bucket had a token, else how long until it has one."""
        rate = self.curve[int(self._depth() * CURVE_STEPS)]
        bucket = self.buckets.get(tenant) or self.buckets[""]
        if rate == float("inf"):
            bucket[0] = self.burst
        else:
            bucket[0] = min(self.burst, bucket[0] + rate * (now_ms - bucket[1]))
            # Tokens count set-ups, but what a flooding tenant already holds is what loads the servers.
            if 0 < self.fill.get(tenant, 0.0) < self.held[tenant]:
                bucket[0] = 0.0
        bucket[1] = now_ms
        if bucket[0] >= 1.0:
            bucket[0] -= 1.0
            return 0.0
        return (1.0 - bucket[0]) / rate if rate > 0 else self.settings.max_retry_after_ms

    def _on_request(self, now_ms: float, e: events.RequestArrived) -> None:
        cls = self.classes.get(e.class_name) or self.settings.classes[0]
        r = _Request(e, cls, e.deadline_ms, min(e.deadline_ms, now_ms + cls.latency_objective_ms))
        r.endpoint, r.spared_ms = self.endpoints.get(e.moved_off), e.spared_until_ms  # avoided like tried
        r.allowed, r.strict = e.allowed, e.strict
        self._review_closed(now_ms)
        self.requests[e.id] = r
        if not e.retried:
            self.probes.paid()
        if not e.midflow:
            wait_ms = self._take_token(now_ms, e.tenant)
            if wait_ms > 0:
                self._end(r, wait_ms)
                return
        self._place(now_ms, r)

    # ------------------------------------------------------------ 4 placement

    def _load(self, s: _Server) -> float:
        """Own open connections; a server none of ours has stood on yet counts at the others' mean.

        Where the list tells sizes, against them: with many balancers own counts are nearly all 0 or 1.
        """
        opened: float = s.open
        if s.fresh and len(self.ready) > 1:
            opened = max(opened, (self.sum_open - s.in_open) / (len(self.ready) - 1))
        if self.now_ms < s.soft_until_ms:
            opened = (opened + 1.0) * SOFT_HEAVIER
        if self._lag(s) > LAG_FREE:
            opened = (opened + 1.0) * exp(self._lag(s))
        return (opened + 1.0) / s.size

    def _crowded(self, s: _Server, over: float = CROWD_OVER) -> bool:
        """Groups and zones draw connections to a server only up to a bound over its part of all of ours."""
        signs = self.now_ms < s.soft_until_ms or self._lag(s) > LAG_LATE
        return signs or s.open > over * s.part * self.open + CROWD_LEAST

    def _pick(self, now_ms: float, r: _Request) -> _Server | None:
        """The lighter of two random ready servers, from the narrowest pool that has room."""
        # Where every server that holds any of a group pays for the group, the group's own few come first:
        # ranked by hash, so that all balancers name the same ones, and as many as its part of our
        # connections calls for. When they are full, the next in rank with room takes all that spills; but
        # while servers are scarce (depth past its free part) the group gets no further one: only those
        # that hold some of it already, or its first ones in other zones.
        if r.group and self.settings.groups:
            ranked, homes = self._ranked(r.group)
            moved = not r.attempts and r.endpoint is not None  # for balance: to its group, or where room is
            cold = next((s for s in ranked if s.cold and s is not r.endpoint), None)
            due = cold is not None and self.rng.random() < cold.part * self.open - cold.open
            if due and cold and not cold.full() and self._may_send(now_ms, r, cold):
                return cold  # its budget is small: what is left unused comes too late to warm it
            s = None if moved else self._lighter(now_ms, r, ranked[:homes])
            if s is not None and not s.full() and not self._crowded(s):
                return s
            near, scarce = len(self.near or self.ready), self._depth() >= FREE_DEPTH and not r.midflow
            order = sorted(ranked, key=lambda s: r.group not in s.groups) if moved else ranked[homes:]
            for k, s in enumerate(order, homes):
                fits = not scarce or r.group in s.groups or near <= k < near + homes
                over = 1.0 if moved and r.group not in s.groups else CROWD_OVER
                fits = fits and not s.full() and not self._crowded(s, over)
                if fits and s is not r.endpoint and self._may_send(now_ms, r, s):
                    if moved:  # the group's newcomers follow it
                        ranked.insert(0, ranked.pop(ranked.index(s)))
                    return s
            if scarce:
                return None
        # Where crossing zones is priced, our own zone's servers come first, and others when it is full.
        if self.near and len(self.near) < len(self.ready):
            s = self._lighter(now_ms, r, self.near)
            if s is not None and not s.full() and not self._crowded(s):
                return s
        s = self._lighter(now_ms, r, self.ready)
        if s is None:
            # Few may take it (a keyed group, none that is cold or just failed), and chance met none.
            s = next((s for s in self.ready if s is not r.endpoint and self._may_send(now_ms, r, s)), None)
        if s is not None and now_ms < s.spent_until_ms:
            # Chance met two that are spent; with no other left the request fails fast.
            rest = [t for t in self.ready if now_ms >= t.spent_until_ms and t is not r.endpoint]
            s = min((t for t in rest if self._may_send(now_ms, r, t)), key=self._load, default=None)
        return s

    def _ranked(self, group: str) -> tuple[list[_Server], int]:
        ranked = self.ranked.get(group)
        if ranked is None:
            # Weighted rendezvous hashing: the larger a server by the list, the more groups name it early.
            mark = crc32(group.encode())

            def place(s: _Server) -> float:
                u = (((s.hash ^ mark) * 0x9E3779B1 & 0xFFFFFFFF) + 1) / 0x100000001
                return -log(u) / s.size

            near = self.near or self.ready
            ranked = sorted(near, key=place)
            if len(near) < len(self.ready):
                own = self.settings.zone
                ranked += sorted((s for s in self.ready if s.zone != own), key=place)
            if len(self.ranked) >= RANKED_MOST:
                self.ranked.clear()
            self.ranked[group] = ranked
        part = (self.group_open.get(group, 0) + GROUP_PRIOR * GROUP_DOUBT) / (self.open + GROUP_DOUBT)
        return ranked, max(1, ceil(len(self.near or self.ready) * part))

    def _lighter(self, now_ms: float, r: _Request, pool: list[_Server]) -> _Server | None:
        best: _Server | None = None
        best_load = 0.0
        want = 2
        for k in range(min(len(pool), DRAWS)):
            s = pool[int(self.rng.random() * len(pool))] if len(pool) > 2 else pool[k]
            if s is best or not self._may_send(now_ms, r, s) or (s is r.endpoint and len(self.ready) > 1):
                continue
            load = self._load(s) + (FULL_LOAD if s.full() else 0)
            if best is None or load < best_load or (load == best_load and self.rng.random() < 0.5):
                best, best_load = s, load
            want -= 1
            if not want:
                break
        return best

    def _may_send(self, now_ms: float, r: _Request, s: _Server) -> bool:
        """The rules: cold budget, and where a keyed request may have run only its group will do."""
        if r.allowed is not None and s.name not in r.allowed and (r.strict or not r.attempts):
            return False
        if s.beyond() or (self.warm_full and not s.cold):
            return False
        if s.cold and not self._cold_ok(now_ms, s):
            return False
        if r.ran_ms < 0 or r.cls.effect == "safe":
            return True
        if r.cls.effect == "unsafe" or now_ms > r.ran_ms + r.cls.key_ttl_ms:
            return False
        scope = r.cls.scope
        return scope == "all" or (s.zone == r.ran_zone if scope == "zone" else s.cell == r.ran_cell)

    # ------------------------------------------------------------ 5 attempts

    def _place(self, now_ms: float, r: _Request) -> None:
        """Send the next attempt, or end the request: it never stays held."""
        left_ms = r.give_up_ms - now_ms
        late = r.attempts and now_ms >= r.objective_ms
        if left_ms <= 0 or r.attempts >= self.settings.max_attempts or late:
            self._end(r, 0.0)
            return
        wait_ms = 0.0 if r.midflow else self._gate(now_ms)
        # What is meant for cold servers is not for the others, or these would hold all that the fleet can.
        warm_open = self.sum_open - sum(s.open for s in self.ready if s.cold)
        self.warm_full = warm_open + 1 > self.most * self.warm_part + self.odd and not r.midflow
        s = None if wait_ms else self._pick(now_ms, r)
        if s is None:
            self._end(r, wait_ms or RETRY_LEAST_MS)
            return
        # A time-out leaves room for another try, unless there can be none.
        last = r.attempts + 1 >= self.settings.max_attempts or r.cls.effect == "unsafe"
        timeout_ms = max(left_ms * 0.5, self.settings.connect_timeout_ms)
        if last or now_ms + timeout_ms >= r.objective_ms:
            timeout_ms = left_ms
        r.endpoint, r.state, r.sent_ms = s, PENDING, now_ms
        r.attempts += 1
        self._count(s, 1, 1)
        self._count_held(r, 1)
        if s.open >= s.room - s.chance:
            self._review(now_ms, s)
        if s.cold:
            self.ramp.use(s.cold)
        self.actions.append(actions.PlaceRequest(r.id, s.name, timeout_ms))

    def _end(self, r: _Request, retry_after_ms: float) -> None:
        """The final answer: a refusal where the effect rule lets us promise harmlessness."""
        if r.cls.is_rejectable(r.ran_ms >= 0):
            top = self.settings.max_retry_after_ms
            advice = min(top, max(RETRY_LEAST_MS, retry_after_ms) * (0.75 + 0.5 * self.rng.random()))
            told_ms = advice if self.settings.retry_after and retry_after_ms else 0.0
            self.actions.append(actions.RejectRequest(r.id, told_ms))
        else:
            self.actions.append(actions.FailRequest(r.id))
        del self.requests[r.id]

    def _on_first_sign(self, now_ms: float, e: events.ConnectionEstablished) -> None:
        r = self.requests.get(e.id)
        if r is None or r.state != PENDING or e.attempt != r.attempts - 1 or r.endpoint is None:
            return
        r.state, s = OPEN, r.endpoint
        self.window.ended(now_ms, now_ms - r.sent_ms, True)
        if not r.done:
            s.conns[r.id] = r
        self._count(s, -1, 0)
        self._set_limit(s, s.limit + (now_ms <= r.objective_ms))
        s.fresh = False
        s.fails = 0
        if e.took_ms > 0 and s.kind and not s.cold:
            took = log(e.took_ms)
            self.speeds.learn(s.kind, took)
            # Against what was usual just now: a slow store slows down the set-ups at all servers alike.
            self.usual += USUAL_NEW * (took - self.usual) if self.usual else took
            if not self._sees_delay():
                s.took = took + (1.0 - LAG_NEW) * (self.usual + self._lag(s) - took)
                s.took_ms = now_ms

    def _lag(self, s: _Server) -> float:
        """Of the logs of its latest set-up times; it fades, or a slow server would never be tried again."""
        return (s.took - self.usual) * exp((s.took_ms - self.now_ms) / LAG_FADE_MS) if s.took else 0.0

    def _on_outcome(self, now_ms: float, e: events.AttemptEnded) -> None:
        r = self.requests.get(e.id)
        if r is None or r.state == HELD or e.attempt != r.attempts - 1 or r.endpoint is None:
            return
        s, status, early = r.endpoint, e.status, r.state == PENDING
        self._hear(now_ms, s, e.report)
        self._count(s, -1 if early else 0, -1)
        self._count_held(r, -1)
        r.state = HELD
        self._release(s, r)
        if early:
            self.window.ended(now_ms, now_ms - r.sent_ms, status == "ok")
            if status == "ok":
                self._set_limit(s, s.limit + 1)
                s.fails = 0
            elif status in ("full", "connect_failed", "reset", "error", "timeout"):
                self._set_limit(s, s.limit // 2)
            if status in ("error", "timeout", "connect_failed", "reset"):
                self._ill(now_ms, s, 2 if status == "connect_failed" else 1)
            if status == "connect_failed" and self.watching is None and self.settings.discovery == "ask":
                self.watching = False  # the list of the start is out of date: it is not waited for any longer
                self.actions.append(actions.SetTimer(self.calls.first_call_delay_ms(stale=True), "watch"))
        elif status == "reset":
            # A server with too much piled up breaks connections, mostly new ones. A balancer that holds
            # none there for long gets no note: this is all it sees.
            s.sheds = s.sheds + 1 if now_ms < s.shed_ms + SHED_MS else 1
            s.shed_ms = now_ms
            if s.sheds >= SHED_LEAST or self._sees_delay():
                self._strained(now_ms, s, s.open + 1)
                s.room = min(s.room, max(1.0, s.open * ROOM_CUT))
        if e.final or r.done:
            del self.requests[r.id]
            return
        if status not in NOT_EXECUTED_STATUSES and r.ran_ms < 0:
            r.ran_zone, r.ran_cell, r.ran_ms = s.zone, s.cell, r.sent_ms
        if r.cls.effect == "unsafe" and r.ran_ms >= 0:
            self._end(r, 0.0)
        else:
            self._place(now_ms, r)

    def _on_client_gone(self, now_ms: float, e: events.ClientDisconnected) -> None:
        r = self.requests.get(e.id)
        if r is None or r.done:
            return
        if r.state == OPEN and r.endpoint is not None:
            self._release(r.endpoint, r)
        elif r.state == PENDING and self.settings.may_cancel:
            self.actions.append(actions.AbandonAttempt(r.id, r.attempts - 1))
        r.done = True  # its attempt's outcome is still to come

    def _on_inherited(self, now_ms: float, e: events.ConnectionAdopted) -> None:
        cls = self.classes.get(e.class_name) or self.settings.classes[0]
        s = self.endpoints.get(e.endpoint)
        if s is None:
            s = self.endpoints[e.endpoint] = _Server(events.Endpoint(e.endpoint, "gone"))
        r = _Request(e, cls, float("inf"), float("inf"))
        r.endpoint, r.state, r.attempts, r.sent_ms = s, OPEN, 1, now_ms
        s.conns[e.id] = r
        s.fresh = False
        self.requests[e.id] = r
        self._count(s, 0, 1)
        self._count_held(r, 1)

    def _on_note(self, now_ms: float, e: events.MeasurementReported) -> None:
        s = self.endpoints.get(e.endpoint)
        if s is None:
            return
        if e.kind == "load":
            r = s.conns.get(e.id)
            if r is not None and not self._sees_delay():
                s.work, s.heard = s.work + e.value - r.told, s.heard + (not r.told)
                r.load, r.told, self.told = e.value, e.value, [self.told[0] + e.value, self.told[1] + 1.0]
                self._ease(now_ms, s)
                self._weigh(now_ms, s)
            return
        if e.value > self.late_ms:
            self._strained(now_ms, s, s.open)
            if e.value > self.move_ms and self.settings.migration_cost <= MOVE_DEAR:
                self._relieve(s)
        elif s.late_until_ms > now_ms:
            s.late_until_ms = now_ms
            self._review(now_ms, s)

    def _release(self, s: _Server, r: _Request) -> None:
        if s.conns.pop(r.id, None) is not None and r.told:
            s.work, s.heard = s.work - r.told, s.heard - 1

    def _ease(self, now_ms: float, s: _Server) -> None:
        """It holds more than our share: clients go one by one, at a pace that all balancers share."""
        over = s.open >= s.most + s.odd + 1.0 and self.settings.migration_cost <= MOVE_DEAR
        if over and now_ms >= self.ease_ms:
            pause_ms = (500.0 + 1000.0 * self.rng.random()) * self.settings.relay_count
            self.ease_ms = now_ms + pause_ms / RELIEF_PER_S
            self._relieve(s, 1)

    def _weigh(self, now_ms: float, s: _Server) -> None:
        """Where no delays are told, loads stand in: one fuller than the others is late. All cannot be."""
        if now_ms < s.weigh_ms or not s.ready:
            return
        s.weigh_ms, fill = now_ms + WEIGH_MS, self._fill(s)
        over = fill * len(self.ready) / (sum(self._fill(t) for t in self.ready) or 1.0)
        over = 1.0 + (over - 1.0) * min(1.0, 2.0 * quotas.count_trust(s.size / self.size * self.open))
        if fill > SPENT_AT:
            # Past this the messages of all its clients are late: it is better to serve fewer of them.
            s.spent_until_ms = now_ms + LATE_HOLD_MS
        if fill > FULL_AT and over > FULL_OVER:
            s.soft_until_ms = now_ms + LATE_HOLD_MS
            if fill > MOVE_AT and over > MOVE_OVER and self.settings.migration_cost <= MOVE_DEAR:
                self._relieve(s)

    def _fill(self, s: _Server) -> float:
        """Part of its size that loads take: ours, and at each other balancer a number between ours and what
        the server's size calls for, all of the mean load: a few heavy ones of ours tell nothing of theirs.
        """
        even = s.size / self.size * self.open
        others = (self.settings.relay_count - 1) * (even + quotas.count_trust(even) * (s.open - even))
        untold = s.open - s.heard + others + GROUP_COST * len(s.groups)
        return (s.work + untold * self.told[0] / max(1.0, self.told[1])) / (1000.0 * s.size)

    def _relieve(self, s: _Server, count: int | None = None) -> None:
        """Messages stay late here: ask a few clients to come again."""
        members: dict[str, int] = {}
        for r in s.conns.values():
            members[r.group] = members.get(r.group, 0) + 1
        # The fewest of a group first, since the last to go takes the group's cost along; then the heaviest,
        # unless servers are scarce: who is moved then may stay out, and the heaviest are the worst to lose.
        weigh = -1.0 if self._depth() < FREE_DEPTH else 0.0
        free = [r for r in s.conns.values() if r.spared_ms <= self.now_ms]
        order = sorted(free, key=lambda r: (members[r.group], weigh * r.load))
        # Every balancer is told at once: where many hold one or two each, one each would empty the server.
        part = min(MOVE_MOST, MOVE_PART + MOVE_MORE * self.settings.relay_count)
        if count is None:
            count = int(len(order) * part + 1.0 / self.sharers + self.rng.random())
        for r in order[:count]:
            r.done = True
            self._release(s, r)
            self.actions.append(actions.MigrateConnection(r.id))

    # ------------------------------------------------------------ 6 health and list

    def _ill(self, now_ms: float, s: _Server, by: int) -> None:
        """Failures in a row put a server out for a while, but never too many servers at once."""
        s.fails += by
        if s.ready and s.fails >= SUSPECT:
            listed = len(self.ready) + len(self.out)
            if len(self.out) + 1 <= listed * OUT_SHARE:
                s.out_until_ms = now_ms + OUT_MS
                self._relist()

    def _on_list(self, now_ms: float, e: events.EndpointListEvent) -> None:
        if e.kind == "failed":
            self.watching = False
            self.actions.append(actions.SetTimer(self.calls.retry_delay_ms(now_ms, e.failure), "watch"))
            return
        if e.kind == "stale" and self.probes.asks:
            self.actions.append(actions.SetTimer(LOOK_MS * self.rng.random(), "probe"))
        if e.kind == "stale" and self.settings.discovery == "ask":
            self.actions.append(actions.SetTimer(self.calls.first_call_delay_ms(), "watch"))
        elif e.kind != "stale":
            self.watching = True
            self.calls.on_success()
        if e.kind in ("full", "stale"):
            named = {line.name for line in e.endpoints}
            for s in self.endpoints.values():
                if s.name not in named:
                    s.state = "gone"
        if not self.first_listed and e.endpoints:
            self.first_listed = sum(line.state == "ready" for line in e.endpoints) or len(e.endpoints)
            # No more balancers can hold something on one server than it has connections.
            if self.quota:
                self.sharers = min(self.settings.relay_count, max(1.0, self.quota / self.first_listed))
        self.zones.update((line.zone, None) for line in e.endpoints)
        for line in e.endpoints:
            known = self.endpoints.get(line.name)
            if known is None:
                odd = self.ramp.rounding(crc32(line.name.encode()))
                known = self.endpoints[line.name] = _Server(line, odd)
                if e.kind == "stale":
                    known.fresh = now_ms - line.started_at_ms < self.settings.slow_start_ms
            elif line.state != "gone":
                known.zone, known.cell, known.kind = line.zone, line.cell, line.kind
            known.share = (line.share if self.sized else 1.0) * line.factor
            known.state = line.state
            if line.started_at_ms and line.started_at_ms != known.started_ms:
                # Same name, new process: what was learned of the old one no longer counts.
                known.started_ms, known.fresh, known.fails = line.started_at_ms, True, 0
                known.room, known.late_until_ms, known.took, known.sheds = float("inf"), 0.0, 0.0, 0
                known.out_until_ms, known.cold = 0.0, None
            warm_ms = line.started_at_ms + self.settings.slow_start_ms
            if line.started_at_ms and now_ms < warm_ms and not known.cold:
                known.cold = SlowStartState(now_ms - line.started_at_ms, known.odd)
        self._relist()

    def _relist(self) -> None:
        """Rebuild the ready list and its sums; only list and health changes come here."""
        for name in [n for n, s in self.endpoints.items() if s.state == "gone" and not s.open]:
            s = self.endpoints.pop(name)
            s.ready = False
            self._sum(s)
            self.closed.pop(name, None)
        self.ready, self.out, self.ranked = [], [], {}
        for s in self.endpoints.values():
            s.ready = s.state == "ready" and not s.out_until_ms
            if s.ready:
                self.ready.append(s)
            elif s.state == "ready":
                self.out.append(s)
            self._sum(s)
        self.near = [s for s in self.ready if s.zone == self.own_zone]
        self._share_out()

    def _share_out(self) -> None:
        """Servers' parts of ours, by size; near ones are due what their zone's balancers bring, one down."""
        within_ms, initial = self.settings.slow_start_ms, self.settings.initial_capacity_ratio
        for s in self.ready:
            warm = quotas.warm_part(self.now_ms - s.started_ms, within_ms, initial) if s.started_ms else 1.0
            s.size = s.share * self.speeds.of.get(s.kind, 1.0) * warm
        self.size = sum(s.size for s in self.ready) or 1.0
        here = sum(s.size for s in self.near)
        zones = len({s.zone for s in self.ready}) or 1
        ours = min(1.0, max(1.0, self.settings.relay_count / zones) / max(1, self.settings.relay_count - 1))
        for s in self.ready:
            s.part = s.size / self.size
        for s in self.near:
            s.part = s.size / max(here, self.size * ours)
        self.share = sum(s.share for s in self.ready) / max(1, len(self.ready))
        self.warm_part = sum(s.size for s in self.ready if not s.cold) / self.size
        self.most = float("inf")
        bounds = [quotas.QuotaBound(self.most, self.settings.relay_count)] * len(self.ready)
        if self.quota and self.first_listed and not self._sees_delay():
            places = [quotas.EndpointCapacity(s.zone, s.size, s.share) for s in self.ready]
            each, count = self.quota / self.first_listed, self.settings.relay_count
            self.most, bounds = quotas.quota_bounds(places, self.zones, self.own_zone, each, count)
        for s, bound in zip(self.ready, bounds, strict=True):
            s.most, s.sharers = bound.most, bound.sharers

    def _on_timer(self, now_ms: float, e: events.TimerFired) -> None:
        if e.mark == "watch" and not self.watching:
            self.watching = True  # until that call is told to have failed
            self.actions.append(actions.WatchEndpoints())
        elif e.mark == "probe":
            asked = self.probes.due(now_ms, [s.name for s in self.ready + self.out])
            self.actions += [*map(actions.CheckHealth, asked), actions.SetTimer(LOOK_MS, "probe")]

    # ------------------------------------------------------------ 7 load reports

    def _sees_delay(self) -> bool:
        """Something tells how long messages take: notes, or load reports as long as they come."""
        return self.settings.reports_delay or self.probes.seen(self.now_ms)

    def _on_probed(self, now_ms: float, e: events.HealthCheckCompleted) -> None:
        if e.status == "refused":
            self.probes.refused(e.endpoint)
        elif e.endpoint in self.endpoints:
            self._hear(now_ms, self.endpoints[e.endpoint], e.report)

    def _hear(self, now_ms: float, s: _Server, report: dict[str, float]) -> None:
        if not report or self.settings.reports_delay:
            return
        verdict = self.probes.heard(now_ms, s.name, report)
        if verdict.late:
            self._strained(now_ms, s, s.open)
        elif s.late_until_ms > now_ms:
            s.late_until_ms = now_ms
            self._review(now_ms, s)
        if verdict.part and self.settings.migration_cost <= MOVE_DEAR:
            self._relieve(s, int(len(s.conns) * verdict.part + self.rng.random()))

    # ------------------------------------------------------------ 8 cold starts

    def _cold_ok(self, now_ms: float, s: _Server) -> bool:
        """Whether it is our turn to send it one: all balancers together stay inside its budget."""
        st, age_ms = self.settings, now_ms - s.started_ms
        if s.cold is None or age_ms >= st.slow_start_ms:
            s.cold = None
            return True
        # What it holds once it is warm, by the quotas or what we hold.
        listed = max(1, len(self.ready) + len(self.out))
        size = self.quota / self.first_listed if self.quota else self.open * st.relay_count / listed
        return self.ramp.due(s.cold, age_ms, size * s.share / (self.share or s.share), s.sharers)
