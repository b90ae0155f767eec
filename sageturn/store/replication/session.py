"""One link's conversation, both directions of it. No I/O, no clock.

Each side follows the other: it says how far it has got (per lane), is sent what changed since in bounded
parts, and acknowledges them; no more than a window of parts is on its way. Nothing is queued: a part is
made from the copy's sequence when it can go, so a slow follower costs no memory, and what changed twice
meanwhile goes once. Where one can't say how far it is with this incarnation of the other, it compares
trees of hashes (a walk) and asks for what differs, or, nearly empty, takes all from the start (a snapshot).
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from sageturn.store.records import StoreRecord, record_digest
from sageturn.store.replication.changes import DEPTH, FANOUT
from sageturn.store.replication.close_code import CloseCode
from sageturn.store.replication.liveness import HEARTBEAT_INTERVAL_S, PEER_TIMEOUT_S
from sageturn.store.replication.wire import (
    LANES,
    PART_OCTETS,
    PROTOCOL,
    STATES,
    URGENT,
    SessionRejected,
    decode,
    encode,
    lane_of,
    natural,
    octets_of,
    pack_record,
    unpack_records,
)

if TYPE_CHECKING:
    from sageturn.store.replication.replica import Replica

FRAME_OVERHEAD = 36  # length and keyed hash (frames.py)
WINDOW, URGENT_WINDOW = 2, 4  # parts on their way
LEAST_PART = 4096.0  # octets left in the budget below which no part is begun; a part packs to about so many
# Live parts of a lane go at least so far apart on average, a few at once. A change alone costs more for its
# frame than for itself, and one by one a burst would use the budget up.
LIVE_S = (0.05, 0.25)
LIVE_AT_ONCE = 4
ASKED_NODES, ASKED_KEYS = 64, 200
FEW_KEYS = 32  # a node with no more is answered by its keys
BEHIND_TIMES = 4  # one that holds so many times less takes a snapshot
UNEQUAL_BEATS = 2  # quiet on both sides and unequal, so often in a row
WALK_AGAIN_S, WALK_AGAIN_MOST_S = 5.0, 300.0
ZONES_MOST = 64
LIVE, BASE = 0, 1
CAN_WAIT = (URGENT, BASE), (STATES, LIVE), (STATES, BASE)  # in the order in which they go


@dataclass(slots=True)
class Cursor:
    """How far a follower is: all up to ``base``, and all after ``until`` up to ``live``."""

    base: int  # -1: not known, a walk is to tell
    until: int
    live: int

    @property
    def complete(self) -> bool:
        return self.base >= self.until


@dataclass(slots=True)
class Range:
    """What the follower is sent of a sequence: up to ``told`` it has been sent, up to ``seen`` looked at."""

    told: int
    seen: int
    acked: int
    end: int  # -1: as far as the sequence goes


@dataclass(frozen=True, slots=True)
class Hello:
    node: str
    incarnation: int
    heads: tuple[int, ...]
    roots: tuple[int, ...]
    counts: tuple[int, ...]
    fresh: bool  # in step within the horizon
    foreign: bool  # holds others' records, of whatever age
    floor: int
    guest: bool
    member: tuple[str, int, str, str] | None  # host, port, region, zone


class ReplicationSession:
    def __init__(self, replica: Replica, peer: str, now: float, dialled: tuple[str, int] | None) -> None:
        self._replica, self.peer, self.dialled = replica, peer, dialled
        self.opened = self.last_received_at = now
        self.peer_hello: Hello | None = None
        self.fresh = False  # the peer, as it last said
        self.close_detail = ""  # why this side ends it
        self.close_code: str = CloseCode.FAULT
        self.sent_bye = False
        self.peer_close_detail = ""  # why the other side ended it
        self.peer_close_code = ""
        self.alternatives: list[list[Any]] = []
        self._claim: bool | None = None  # what this side says of its own freshness in its greeting
        self._said_hello = self._followed = self._acks_due = False
        self._beat_at = now
        self._live_at = [now for _ in LANES]
        self._held = [Cursor(0, 0, 0) for _ in LANES]
        self._flows: list[list[Range]] | None = None  # by lane: LIVE and BASE
        self._flying: list[tuple[int, int, int]] = []
        self._pending_beat: tuple[list[int], list[int], float] | None = None
        # The walk: what is still to be asked, what is asked, what the other asked.
        self._todo: list[tuple[int, int, int]] = []
        self._wanted: list[str] = []
        self._asked: list[tuple[int, int, int]] | list[str] | None = None
        self._asked_kind = ""
        self._walked = 0  # records that the walk has brought
        self._walk_again, self._walk_after = WALK_AGAIN_S, 0.0
        self._unequal = [0 for _ in LANES]
        self._question: tuple[str, list[Any]] | None = None
        self.walks = 0

    # ------------------------------------------------------------ how it stands

    @property
    def chunks_in_flight(self) -> int:
        """Chunks that were sent and are not acknowledged yet."""
        return len(self._flying)

    @property
    def guest(self) -> bool:
        """One side is an operator's copy for a moment: no member, and outside every rule of membership."""
        return self._replica.guest or (self.peer_hello is not None and self.peer_hello.guest)

    @property
    def caught_up(self) -> bool:
        """This side has all that the other had when the link came up."""
        return (
            self.peer_hello is not None
            and self._followed
            and all(
                c.complete and c.live >= h for c, h in zip(self._held, self.peer_hello.heads, strict=True)
            )
        )

    @property
    def delivered(self) -> bool:
        """The other side has acknowledged all that this one holds and it lacked."""
        if self._flows is None:
            return False
        for lane in LANES:
            for kind in (LIVE, BASE):
                self._pass_over(lane, kind)
                flow = self._flows[lane][kind]
                if flow.seen < self._end(lane, kind) or flow.acked < flow.told:
                    return False
        return True

    def close(self, reason: str, why: str = CloseCode.FAULT) -> None:
        if not self.close_detail:
            self.close_detail, self.close_code = reason, why
            self._replica.on_output_pending()

    # ------------------------------------------------------------ what to say

    def next_payload(self, now: float) -> bytes | None:
        """What goes out now; None: again at ``wake_at``, after a ``receive``, or when the copy changed."""
        if self.peer_close_detail or self.sent_bye:
            return None
        if not self.close_detail and now - self.last_received_at >= PEER_TIMEOUT_S:
            self.close(f"silent for {now - self.last_received_at:.1f} s")
        if self.close_detail:
            self.sent_bye = True
            return self._say(now, self._replica.make_bye(self))
        if not self._said_hello and (self.dialled is not None or self.peer_hello is not None):
            self._said_hello = True
            self._beat_at = now + HEARTBEAT_INTERVAL_S
            return self._say(now, self._make_hello(now))
        if self.peer_hello is None or not self._said_hello:
            return None
        if not self._followed and self._replica.may_follow(self):
            return self._say(now, self._make_follow())
        if now >= self._beat_at:
            self._beat_at = now + HEARTBEAT_INTERVAL_S
            return self._say(now, self._make_beat(now))
        if self._acks_due:
            self._acks_due = False
            return self._say(now, {"ack": self._acks()})
        message = self._part(now, URGENT, LIVE) or self._ask() or self._answer(now)
        for lane, kind in CAN_WAIT:
            message = message or self._part(now, lane, kind)
        return self._say(now, message) if message else None

    def wake_at(self, now: float) -> float:
        """When ``next_payload`` may have something though nothing happens meanwhile."""
        at = self.last_received_at + PEER_TIMEOUT_S
        if self.peer_hello is not None:
            at = min(at, self._beat_at)
        if not self.guest:
            budget = self._replica.budget
            if self._has_part(URGENT, LIVE):
                at = min(at, max(self._live_due(URGENT), budget.available_at(now, LEAST_PART, urgent=True)))
            if self._question or self._has_part(URGENT, BASE) or self._has_part(STATES, BASE):
                at = min(at, budget.available_at(now, LEAST_PART))
            if self._has_part(STATES, LIVE):
                at = min(at, max(self._live_due(STATES), budget.available_at(now, LEAST_PART)))
        return at

    def _say(self, now: float, message: dict[str, Any]) -> bytes:
        payload = encode(message)
        if not self.guest:
            self._replica.budget.consume(now, len(payload) + FRAME_OVERHEAD)
        return payload

    def _make_hello(self, now: float) -> dict[str, Any]:
        replica = self._replica
        return {
            "hello": {
                "protocol": PROTOCOL,
                "node": replica.store.node,
                "incarnation": replica.changes.incarnation,
                "heads": replica.changes.heads,
                "roots": replica.changes.roots,
                "counts": replica.changes.counts,
                "fresh": self._claimed(),
                "foreign": replica.foreign,
                "floor": replica.store.replica_state.tombstone_floor,
                "guest": replica.guest,
                "member": replica.member_word,
            },
            "records": old_copies_word(),
        }

    def _claimed(self) -> bool:
        """Once a link: both sides judge by the greetings, and must come to the same."""
        if self._claim is None:
            self._claim = self._replica.recently_in_sync
        return self._claim

    def _make_follow(self) -> dict[str, Any]:
        assert self.peer_hello is not None
        self._followed = True
        replica, hello = self._replica, self.peer_hello
        known = replica.cursors.get(hello.incarnation)
        for lane in LANES:
            head = hello.heads[lane]
            if known is not None and known[lane].live <= head:
                self._held[lane] = known[lane]
                continue
            own = replica.changes.counts[lane]
            if hello.roots[lane] == replica.changes.roots[lane] or not hello.counts[lane]:
                base = head
            elif own * BEHIND_TIMES < hello.counts[lane]:
                base = 0
            else:
                base = -1
            self._held[lane] = Cursor(base, head, head)
        replica.remember(hello.incarnation, self._held)
        for lane, cursor in enumerate(self._held):
            if cursor.base < 0:
                self._start_walk(lane)
        return {"follow": [[c.base, c.until, c.live] for c in self._held]}

    def _make_beat(self, now: float) -> dict[str, Any]:
        replica = self._replica
        told = None
        if self._flows is not None:
            told = []
            for lane in LANES:
                self._pass_over(lane, LIVE)
                flow = self._flows[lane][LIVE]
                told.append([flow.told, flow.seen])
                if flow.seen > flow.told:
                    flow.told = flow.seen
        return {
            "beat": [
                replica.changes.heads,
                replica.changes.roots,
                told,
                self._acks() if self._followed else None,
                replica.store.replica_state.tombstone_floor,
                replica.recently_in_sync,
                replica.zone_ages(now),
                replica.beacon(self, now),
            ]
        }

    def _acks(self) -> list[list[int]]:
        return [[cursor.base, cursor.live] for cursor in self._held]

    # ------------------------------------------------------------ parts

    def _end(self, lane: int, kind: int) -> int:
        assert self._flows is not None
        end = self._flows[lane][kind].end
        return self._replica.changes.sequences[lane].head if end < 0 else end

    def _pass_over(self, lane: int, kind: int) -> None:
        """What came from this very peer need not go back: looked at, and left out."""
        assert self._flows is not None
        flow, end = self._flows[lane][kind], self._end(lane, kind)
        if flow.seen < end:
            peer = self.peer_hello.incarnation if self.peer_hello is not None else 0
            for revision, _, source in self._replica.changes.sequences[lane].since(flow.seen):
                if revision > end:
                    break
                if source != peer:
                    return
                flow.seen = revision
            flow.seen = end

    def _has_part(self, lane: int, kind: int) -> bool:
        if self._flows is None:
            return False
        flying = sum(
            1
            for flight in self._flying
            if (flight[0] == URGENT and flight[1] == LIVE) == (lane == URGENT and kind == LIVE)
        )
        if flying >= (URGENT_WINDOW if lane == URGENT and kind == LIVE else WINDOW):
            return False
        self._pass_over(lane, kind)
        flow = self._flows[lane][kind]
        # An empty end of the base is told too: the follower then knows that it has it all.
        return flow.seen < self._end(lane, kind) or (kind == BASE and flow.told < flow.end)

    def _part(self, now: float, lane: int, kind: int) -> dict[str, Any] | None:
        if not self._has_part(lane, kind):
            return None
        if kind == LIVE and now < self._live_due(lane) and not self.guest:
            return None
        assert self._flows is not None and self.peer_hello is not None
        if not self._may_take(now, lane == URGENT and kind == LIVE):
            return None
        room = PART_OCTETS
        flow, end = self._flows[lane][kind], self._end(lane, kind)
        start, at = flow.told, end
        records: list[list[Any]] = []
        for revision, key, source in self._replica.changes.sequences[lane].since(flow.seen):
            if revision > end:
                break
            if source == self.peer_hello.incarnation:
                continue
            record = self._replica.store.record(key)
            assert record is not None, key
            packed = pack_record(record)
            size = octets_of(packed)
            if records and size > room:
                at = flow.seen
                break
            records.append(packed)
            room -= size
            flow.seen = revision
        flow.seen = flow.told = at
        self._flying.append((lane, kind, at))
        if kind == LIVE:
            self._live_at[lane] = max(now, self._live_at[lane]) + LIVE_S[lane]
        return {"changes": [lane, kind, start, at, records]}

    def _live_due(self, lane: int) -> float:
        """The generic cell rate algorithm (ITU-T I.371): what was saved up goes at once."""
        return self._live_at[lane] - (LIVE_AT_ONCE - 1) * LIVE_S[lane]

    def _may_take(self, now: float, urgent: bool = False) -> bool:
        return self.guest or self._replica.budget.available_bytes(now, urgent) >= LEAST_PART

    # ------------------------------------------------------------ the walk

    def _start_walk(self, lane: int) -> None:
        if not any(node[0] == lane for node in self._todo):
            self.walks += 1
            self._walked = 0
            self._todo.append((lane, 0, 0))

    @property
    def _walking(self) -> bool:
        return bool(self._todo or self._wanted or self._asked)

    def _ask(self) -> dict[str, Any] | None:
        if self._asked is not None:
            return None
        if self._wanted:
            keys, self._wanted = self._wanted[:ASKED_KEYS], self._wanted[ASKED_KEYS:]
            self._asked, self._asked_kind = keys, "give"
            return {"get": keys}
        if self._todo:
            # The last found go first: what is still to be asked then stays few.
            nodes, self._todo = self._todo[-ASKED_NODES:], self._todo[:-ASKED_NODES]
            self._asked, self._asked_kind = nodes, "nodes"
            return {"ask": nodes}
        return None

    def _answer(self, now: float) -> dict[str, Any] | None:
        if self._question is None:
            return None
        if not self._may_take(now):
            return None
        room = PART_OCTETS
        kind, asked = self._question
        self._question = None
        answers: list[Any] = []
        done = 0
        for item in asked:
            answer = self._tell_node(*item) if kind == "ask" else self._tell_record(item)
            size = octets_of(answer)
            if done and size > room:
                break
            room -= size
            done += 1
            if answer is not None:
                answers.append(answer)
        return {"nodes" if kind == "ask" else "give": [done, answers]}

    def _tell_node(self, lane: int, depth: int, index: int) -> Any:
        tree = self._replica.changes.trees[lane]
        if depth < DEPTH and tree.count(depth, index) > FEW_KEYS:
            return tree.children(depth, index)
        told = {}
        for key, digest in tree.entries(depth, index).items():
            record = self._replica.store.record(key)
            assert record is not None, key
            told[key] = [record.version, record.node, digest]
        return told

    def _tell_record(self, key: str) -> list[Any] | None:
        record = self._replica.store.record(key)
        return None if record is None else pack_record(record)

    def _hear_nodes(self, done: int, answers: list[Any]) -> None:
        asked = self._answered("nodes", done)
        if len(answers) != done:
            raise SessionRejected("answers and their count differ")
        wanted: list[str] = []
        todo: list[tuple[int, int, int]] = []
        for (lane, depth, index), answer in zip(asked[:done], answers, strict=True):
            if isinstance(answer, list):
                if len(answer) != FANOUT or depth >= DEPTH:
                    raise SessionRejected("no node of the tree")
                mine = self._replica.changes.trees[lane].children(depth, index)
                for number, (their, own) in enumerate(zip(answer, mine, strict=True)):
                    if natural(their) != own:
                        todo.append((lane, depth + 1, index * FANOUT + number))
            else:
                for key, (version, node, digest) in answer.items():
                    if self._lacks(str(key), (natural(version, 1), str(node)), natural(digest, 1)):
                        wanted.append(str(key))
        self._asked = None
        self._wanted += wanted
        self._todo += asked[done:] + todo

    def _lacks(self, key: str, order: tuple[int, str], digest: int) -> bool:
        known = self._replica.store.record(key)
        if known is None or known.order != order:
            return known is None or known.order < order
        return digest > record_digest(known)

    def _hear_records(self, done: int, records: list[StoreRecord]) -> None:
        asked = self._answered("give", done)
        if not {record.key for record in records} <= set(asked[:done]):
            raise SessionRejected("a record that nobody asked for")
        self._asked = None
        self._wanted += asked[done:]
        self._walked += self._replica.take(records, self)

    def _answered(self, kind: str, done: int) -> Any:
        if self._asked is None or self._asked_kind != kind or not 1 <= natural(done) <= len(self._asked):
            raise SessionRejected("an answer that nobody asked for")
        return self._asked

    def _walk_goes_on(self, now: float) -> None:
        if self._walking:
            return
        for cursor in self._held:
            if cursor.base < 0:
                cursor.base = cursor.until
        # A walk that brings nothing is no use again soon: the sides only forget at different times.
        self._walk_again = WALK_AGAIN_S if self._walked else min(WALK_AGAIN_MOST_S, self._walk_again * 2)
        self._walk_after = now + self._walk_again

    # ------------------------------------------------------------ what is heard

    def receive(self, payload: bytes, now: float) -> None:
        """Raises Refusal, and has then changed nothing of what this frame says."""
        message = decode(payload)
        self.last_received_at = now
        try:
            self._hear(message, now)
        except SessionRejected:
            raise
        except (KeyError, TypeError, ValueError, IndexError, AttributeError) as error:
            raise SessionRejected(f"not understood: {type(error).__name__} {error}") from None

    def _hear(self, message: dict[str, Any], now: float) -> None:
        kind = next(iter(message))
        what = message[kind]
        if kind == "digest":
            self.close_code = CloseCode.VERSION
            raise SessionRejected(
                f"{self.peer} speaks protocol 1 (whole digests), this copy speaks {PROTOCOL}"
            )
        if kind == "bye":
            self.peer_close_detail, self.peer_close_code = str(what[1])[:500], str(what[0])
            self.alternatives = list(what[2])
            return
        if kind == "hello":
            self._hear_hello(what, now)
            return
        if self.peer_hello is None:
            raise SessionRejected(f"{kind} before any greeting")
        if kind == "follow":
            self._hear_follow(what)
        elif kind == "changes":
            self._hear_changes(what)
        elif kind == "ack":
            self._hear_acks(what)
        elif kind == "beat":
            self._hear_beat(what, now)
        elif kind in ("ask", "get"):
            self._hear_question(kind, what)
        elif kind == "nodes":
            self._hear_nodes(*what)
            self._walk_goes_on(now)
        elif kind == "give":
            done, records = what
            self._hear_records(done, unpack_records(records))
            self._walk_goes_on(now)
        else:
            raise SessionRejected(f"unknown message {str(kind)[:40]!r}")
        self._replica.progressed(self, now)

    def _hear_hello(self, what: dict[str, Any], now: float) -> None:
        if self.peer_hello is not None:
            raise SessionRejected("greeted twice")
        if what["protocol"] != PROTOCOL:
            self.close_code = CloseCode.VERSION
            raise SessionRejected(
                f"{self.peer} speaks protocol {what['protocol']}, this copy speaks {PROTOCOL}"
            )
        member = what["member"]
        hello = Hello(
            node=str(what["node"]),
            incarnation=natural(what["incarnation"], 1),
            heads=self._lanes(what["heads"]),
            roots=self._lanes(what["roots"]),
            counts=self._lanes(what["counts"]),
            fresh=what["fresh"] is True,
            foreign=what["foreign"] is True,
            floor=natural(what["floor"]),
            guest=what["guest"] is True,
            member=None if member is None else _read_place(*member),
        )
        if hello.node != self.peer:
            raise SessionRejected(f"{self.peer} greets as {hello.node}")
        self._replica.admit(self, hello, self._claimed(), now)
        self.peer_hello, self.fresh = hello, hello.fresh
        self._beat_at = now
        self._replica.linked(self, now)

    @staticmethod
    def _lanes(obj: Any) -> tuple[int, ...]:
        if not isinstance(obj, list) or len(obj) != len(LANES):
            raise SessionRejected("not so many lanes")
        return tuple(natural(value) for value in obj)

    def _hear_follow(self, what: list[list[int]]) -> None:
        if self._flows is not None:
            raise SessionRejected("follows twice")
        flows = []
        for lane, (base, until, live) in zip(LANES, what, strict=True):
            head = self._replica.changes.sequences[lane].head
            if not (-1 <= natural(base + 1) - 1 <= natural(until) <= natural(live) <= head):
                raise SessionRejected("a cursor that was never given")
            start = until if base < 0 else base
            flows.append([Range(live, live, live, -1), Range(start, start, start, until)])
        self._flows = flows

    def _hear_changes(self, what: list[Any]) -> None:
        lane, kind, start, end, packed = what
        if not self._followed or lane not in LANES or kind not in (LIVE, BASE):
            raise SessionRejected("changes that nobody asked for")
        cursor = self._held[lane]
        at = cursor.live if kind == LIVE else cursor.base
        if natural(start) != at or natural(end) <= at or (kind == BASE and end > cursor.until):
            raise SessionRejected(f"out of order: changes from {start} to {end}, where {at} is next")
        records = unpack_records(packed)
        if any(lane_of(record.key) != lane for record in records):
            raise SessionRejected("a record in the wrong lane")
        self._replica.take(records, self)
        if kind == LIVE:
            cursor.live = end
        else:
            cursor.base = end
        self._acks_due = True

    def _hear_acks(self, what: list[list[int]]) -> None:
        if self._flows is None:
            raise SessionRejected("acknowledged what was never sent")
        for (live, base), (base_at, live_at) in zip(self._flows, what, strict=True):
            for flow, at in ((live, live_at), (base, base_at)):
                if at < 0:
                    continue  # a walk stands in for the base
                if at > flow.told:
                    raise SessionRejected("acknowledged what was never sent")
                flow.acked = max(flow.acked, at)
        self._flying = [
            (lane, kind, to) for lane, kind, to in self._flying if self._flows[lane][kind].acked < to
        ]

    def _hear_beat(self, what: list[Any], now: float) -> None:
        heads, roots, told, acks, floor, fresh, ages, beacon = what
        heads, roots = self._lanes(heads), self._lanes(roots)
        if not isinstance(ages, dict) or len(ages) > ZONES_MOST:
            raise SessionRejected("too many zones")
        if acks is not None:
            self._hear_acks(acks)
        self.fresh = fresh is True
        replica = self._replica
        if not self.guest:
            replica.hear_floor(natural(floor))
            replica.merge_zone_ages(ages, now)
            replica.hear_beacon(self, beacon, now)
        if not self._followed or told is None:
            return
        for cursor, (start, end) in zip(self._held, told, strict=True):
            if start != cursor.live or natural(end) < start:
                raise SessionRejected(f"out of order: a beat at {start}, where {cursor.live} is next")
        for cursor, (_, end) in zip(self._held, told, strict=True):
            cursor.live = end
        if self._pending_beat is None:
            self._pending_beat = list(heads), replica.changes.heads, replica.store.wall_clock()
        for lane in LANES:
            self._compare(lane, heads[lane], roots[lane], now)

    def _compare(self, lane: int, head: int, root: int, now: float) -> None:
        """Unequal though both sides are quiet, and not just once: something was lost, whatever it was."""
        cursor, mine = self._held[lane], self._replica.changes
        if self._flows is None:
            return
        live, base = self._flows[lane]
        quiet = (
            cursor.complete
            and cursor.live == head
            and live.acked == mine.sequences[lane].head
            and base.acked >= base.end
        )
        if not quiet or root == mine.trees[lane].root:
            self._unequal[lane] = 0
            return
        self._unequal[lane] += 1
        if self._unequal[lane] >= UNEQUAL_BEATS and now >= self._walk_after and not self._walking:
            self._unequal[lane] = 0
            self._start_walk(lane)

    def in_step_at(self) -> float | None:
        """Unix seconds of a beat such that each side has now all that the other had then; once for each.

        One that is being filled, and that the other takes nothing from yet, only has to have all itself.
        """
        if self._pending_beat is None:
            return None
        theirs, mine, at = self._pending_beat
        here = all(c.complete and c.live >= head for c, head in zip(self._held, theirs, strict=True))
        there = self._flows is None or all(
            live.acked >= head and base.acked >= base.end
            for (live, base), head in zip(self._flows, mine, strict=True)
        )
        if here and there:
            self._pending_beat = None
            return at
        return None

    def _hear_question(self, kind: str, what: list[Any]) -> None:
        if self._question is not None:
            raise SessionRejected("asked before the answer")
        if not isinstance(what, list) or not 1 <= len(what) <= max(ASKED_NODES, ASKED_KEYS):
            raise SessionRejected("asked for too much, or for nothing")
        if kind == "ask":
            for lane, depth, index in what:
                if lane not in LANES or not 0 <= natural(depth) <= DEPTH or natural(index) >= FANOUT**depth:
                    raise SessionRejected("no node of the tree")
        elif not all(isinstance(key, str) for key in what):
            raise SessionRejected("no key")
        self._question = kind, what


def _read_place(host: Any, port: Any, region: Any, zone: Any) -> tuple[str, int, str, str]:
    return str(host), natural(port), str(region), str(zone)


def old_copies_word() -> list[dict[str, Any]]:
    """What a copy that compares whole digests refuses, and logs, as a bad key: both versions are in it."""
    text = f"state/this link needs protocol {PROTOCOL}, this copy speaks 1 (whole digests)"
    return [{"key": text, "value": None, "version": 1, "node": f"protocol {PROTOCOL}"}]
