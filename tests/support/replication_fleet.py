"""Copies of the store in simulated time, linked as a schedule says, with what must hold after each step."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from sageturn.store.errors import SessionRejected
from sageturn.store.records import MAX_FRAME_BYTES, StoreRecord, supersedes
from sageturn.store.replica_state import ReplicaState
from sageturn.store.replication.anti_entropy import MAX_REQUESTED_KEYS
from sageturn.store.replication.chunk_sender import MAX_CHUNKS_IN_FLIGHT, MAX_URGENT_CHUNKS_IN_FLIGHT
from sageturn.store.replication.location import ReplicaLocation
from sageturn.store.replication.membership import LinkRejected, Member
from sageturn.store.replication.priority import PRIORITY_CLASSES, priority_of
from sageturn.store.replication.replica import Replica
from sageturn.store.replication.routes import RouteAdvertisement
from sageturn.store.replication.send_allowance import MAX_CHUNK_BYTES
from sageturn.store.replication.session import ReplicationSession
from sageturn.store.store import Store

QUEUE = 8  # frames that the kernel holds on one side of a link
DAY = 86400.0


@dataclass
class Wire:
    """A link between two copies: per side its session, and the frames on their way to it."""

    ends: tuple[str, str]
    sessions: dict[str, ReplicationSession]
    queues: dict[str, deque[bytes]] = field(default_factory=dict)
    slow: set[str] = field(default_factory=set)  # those that read nothing for now
    octets: int = 0
    sent: dict[str, int] = field(default_factory=dict)  # octets by who said them
    frames: int = 0
    refusals: list[str] = field(default_factory=list)


class Fleet:
    def __init__(self, names: str, seed: int, rate: float = 27_000.0, horizon_s: float = 7 * DAY) -> None:
        self.rng = random.Random(seed)
        self.now, self.began_wall = 1000.0, 1_800_000_000.0
        self.rate, self.horizon_s = rate, horizon_s
        self.replicas: dict[str, Replica] = {}
        self.wires: dict[tuple[str, str], Wire] = {}
        self.refusals: list[str] = []
        self._orders: dict[tuple[str, str], tuple[int, str]] = {}
        for name in names:
            self.start(name, Store(name, wall_clock=self.wall))

    def wall(self) -> float:
        return self.began_wall + self.now

    def start(self, name: str, store: Store) -> None:
        place = ReplicaLocation(("127.0.0.1", 1 + ord(name[0])), "r", name)
        self.replicas[name] = Replica(
            store,
            random.Random(self.rng.random()),
            self.now,
            place,
            max_bytes_per_s=self.rate,
            horizon_s=self.horizon_s,
        )
        self._orders = {at: order for at, order in self._orders.items() if at[0] != name}

    def store(self, name: str) -> Store:
        return self.replicas[name].store

    # ------------------------------------------------------------ what a schedule does

    def put(self, name: str, key: str, value: object) -> StoreRecord:
        return self.store(name).put(key, value)

    def restart(self, name: str, wiped: bool = False) -> None:
        """With what its disk had, or with nothing."""
        for ends in [ends for ends in self.wires if name in ends]:
            self.cut(*ends)
        old = self.store(name)
        new = Store(name, wall_clock=self.wall)
        if not wiped:
            new.merge(old.records())
            new.replica_state = old.replica_state
        self.start(name, new)

    def link(self, one: str, other: str) -> None:
        ends = (one, other)
        if one == other or ends in self.wires or ends[::-1] in self.wires:
            return
        first = self.replicas[one].open_session(other, self.now, ("127.0.0.1", 9))
        second = self.replicas[other].open_session(one, self.now)
        self.wires[ends] = Wire(ends, {one: first, other: second}, {one: deque(), other: deque()})

    def cut(self, one: str, other: str) -> None:
        """Whatever is on its way is lost."""
        wire = self.wires.pop((one, other), None) or self.wires.pop((other, one), None)
        if wire is not None:
            self.refusals += wire.refusals
            for name, session in wire.sessions.items():
                self.replicas[name].on_session_closed(session, self.now)

    def again(self, one: str, other: str) -> None:
        """The last frame on its way to ``other`` comes twice, as no sound link lets it."""
        wire = self.wires.get((one, other)) or self.wires.get((other, one))
        if wire is not None and wire.queues[other]:
            wire.queues[other].append(wire.queues[other][-1])

    def swap(self, one: str, other: str) -> None:
        """The last two frames to ``other`` change places, as no sound link lets them."""
        wire = self.wires.get((one, other)) or self.wires.get((other, one))
        if wire is not None and len(wire.queues[other]) >= 2:
            last = wire.queues[other].pop()
            wire.queues[other].insert(len(wire.queues[other]) - 1, last)

    def slow(self, one: str, other: str) -> None:
        """``other`` reads nothing from ``one`` any more."""
        wire = self.wires.get((one, other)) or self.wires.get((other, one))
        if wire is not None:
            wire.slow.add(other)

    def turn(self) -> bool:
        """One side of one link says or hears one frame; False if nobody has anything to say or hear."""
        moves = [(wire, name) for wire in self.wires.values() for name in wire.ends]
        self.rng.shuffle(moves)
        waiting = False
        for wire, name in moves:
            if (wire.ends[0], wire.ends[1]) not in self.wires:
                continue
            other = wire.ends[0] if name == wire.ends[1] else wire.ends[1]
            session, replica = wire.sessions[name], self.replicas[name]
            waiting = waiting or bool(wire.queues[name] and name not in wire.slow)
            if wire.queues[name] and name not in wire.slow and self.rng.random() < 0.6:
                payload = wire.queues[name].popleft()
                if session.close_detail:
                    return True
                try:
                    session.receive(payload, self.now)
                except SessionRejected as refusal:
                    wire.refusals.append(str(refusal))
                    session.close(str(refusal), session.close_code)
                if session.peer_close_detail:
                    self.cut(*wire.ends)
                return True
            if len(wire.queues[other]) < QUEUE:
                payload_or_none = session.next_payload(self.now)
                if payload_or_none is not None:
                    assert len(payload_or_none) <= MAX_FRAME_BYTES
                    wire.queues[other].append(payload_or_none)
                    wire.octets += len(payload_or_none)
                    wire.sent[name] = wire.sent.get(name, 0) + len(payload_or_none)
                    wire.frames += 1
                    if session.close_detail:
                        # It closes once that is said; the other side may never hear it.
                        if session.close_detail.startswith("silent") or wire.slow or self.rng.random() < 0.3:
                            self.cut(*wire.ends)
                        else:
                            self._hear_out(wire, other)
                    return True
            elif session.wake_at(self.now) <= self.now and self.now - session.last_received_at >= 2.0:
                self.cut(*wire.ends)
                return True
            replica.tick(self.now)
        return waiting

    def _hear_out(self, wire: Wire, name: str) -> None:
        session = wire.sessions[name]
        while wire.queues[name] and not session.peer_close_detail and not session.close_detail:
            try:
                session.receive(wire.queues[name].popleft(), self.now)
            except SessionRejected as refusal:
                wire.refusals.append(str(refusal))
                break
        self.cut(*wire.ends)

    def run(self, seconds: float, most: int = 1_000_000) -> int:
        """Turns until so much time has passed; returns how many it took."""
        until, turns = self.now + seconds, 0
        while turns < most:
            turns += 1
            if not self.turn():
                if self.now >= until:
                    break
                sessions = [session for wire in self.wires.values() for session in wire.sessions.values()]
                wakes = [session.wake_at(self.now) for session in sessions]
                self.now = min(until, max(self.now + 0.01, min(wakes, default=until)), self.now + 2.0)
        return turns

    def heal(self, seconds: float = 60.0, links: list[tuple[str, str]] | None = None) -> bool:
        """Links all (a ring, if not said), again whenever one is lost; True once all hold the same."""
        names = sorted(self.replicas)
        ring = links or list(zip(names, names[1:] + names[:1], strict=True))
        until = self.now + seconds
        while self.now < until:
            for wire in self.wires.values():
                wire.slow.clear()
            for ends in ring:
                self.link(*ends)
            self.run(0.5)
            if self.equal() and all(self._at_rest(wire) for wire in self.wires.values()):
                return True
        return False

    @staticmethod
    def _at_rest(wire: Wire) -> bool:
        return all(session.caught_up for session in wire.sessions.values())

    def equal(self) -> bool:
        return self.equal_among(self.replicas)

    def equal_among(self, names: Iterable[str]) -> bool:
        return len({tuple(self.replicas[name].changes.roots) for name in names}) == 1

    # ------------------------------------------------------------ what must hold

    def newest(self) -> dict[str, StoreRecord]:
        best: dict[str, StoreRecord] = {}
        for replica in self.replicas.values():
            for record in replica.store.records():
                if supersedes(record, best.get(record.key)):
                    best[record.key] = record
        return best

    def check(self) -> None:
        for name, replica in self.replicas.items():
            self._check_orders(name, replica)
            self._check_change_logs(replica)
            self._check_budget(replica)
        self._check_cursors()
        for wire in self.wires.values():
            for session in wire.sessions.values():
                self._check_memory(session)

    def _check_orders(self, name: str, replica: Replica) -> None:
        for record in replica.store.records():
            last = self._orders.get((name, record.key))
            assert last is None or last <= record.order, "an older word took a newer one's place"
            self._orders[name, record.key] = record.order

    @staticmethod
    def _check_change_logs(replica: Replica) -> None:
        """The sequences and trees tell exactly what the store holds."""
        for priority in PRIORITY_CLASSES:
            change_log = replica.changes.logs[priority]
            entries = list(change_log.since(0))
            held = {record.key for record in replica.store.records() if priority_of(record.key) == priority}
            assert {key for _, key, _ in entries} == held and len(entries) == len(held)
            assert [entry[0] for entry in entries] == sorted(entry[0] for entry in entries)
            assert not entries or entries[-1][0] <= change_log.head
            assert change_log.order_length <= 2 * len(held) + 66

    def _check_budget(self, replica: Replica) -> None:
        budget = replica.budget
        passed = self.now - 1000.0
        assert budget.consumed_bytes <= budget.rate * passed + budget.burst + budget.debt + CONTROL * (
            passed + 1
        )

    def _check_cursors(self) -> None:
        """Whoever says how far it is with a copy does hold what that copy had changed up to there."""
        leaders = {replica.changes.incarnation: replica for replica in self.replicas.values()}
        for follower in self.replicas.values():
            for incarnation, cursors in follower.followed_cursors.items():
                leader = leaders.get(incarnation)
                if leader is None:
                    continue
                for priority, cursor in zip(PRIORITY_CLASSES, cursors, strict=True):
                    for revision, key, _ in leader.changes.logs[priority].since(0):
                        if revision <= cursor.backlog or cursor.backlog_end < revision <= cursor.live:
                            record, held = leader.store.record(key), follower.store.record(key)
                            assert record is not None
                            # Deleted there, and the deletion forgotten; or a deletion forgotten.
                            forgotten = (
                                held is None
                                and record.version <= follower.store.replica_state.tombstone_floor
                            )
                            sound = held is not None and not supersedes(record, held)
                            assert forgotten or sound, f"{key} at {revision} was skipped"

    @staticmethod
    def _check_memory(session: ReplicationSession) -> None:
        assert session.chunks_in_flight <= MAX_CHUNKS_IN_FLIGHT + MAX_URGENT_CHUNKS_IN_FLIGHT
        assert session.requested_items <= MAX_REQUESTED_KEYS
        assert len(session.peer) < 300 and MAX_CHUNK_BYTES <= MAX_FRAME_BYTES


CONTROL = 12_000.0  # greetings, beats and acknowledgements of a member's few links go whatever is left


def settled(names: str, seed: int, **more: float) -> Fleet:
    """A fleet that has been in step, linked to a star round its first."""
    fleet = Fleet(names, seed, **more)
    for name in names:
        fleet.store(name).replica_state = ReplicaState(fleet.wall(), 0)
    for name in names[1:]:
        fleet.link(names[0], name)
    fleet.run(5.0)
    return fleet


class DialSeeds:
    """The simplest topology: every seed, always, and again at once."""

    membership_status = "member"
    WAIT_S = 0.05

    def __init__(self, own: Member, seeds: Sequence[tuple[str, int]] = ()) -> None:
        self._at = dict.fromkeys(seeds, 0.0)
        self._dialled: dict[str, tuple[str, int]] = {}

    def update_members(self, members: Iterable[Member]) -> None: ...
    def on_advertisement(self, name: str, advertisement: RouteAdvertisement, now: float) -> None: ...

    def check_admission(self, member: Member, now: float) -> LinkRejected | None:
        return None

    def make_advertisement(self, name: str, now: float) -> RouteAdvertisement:
        return RouteAdvertisement(0, 0, 0, False, 0)

    def on_link_established(self, name: str, now: float, dialled: tuple[str, int] | None = None) -> None:
        if dialled is not None:
            self._dialled[name] = dialled

    def on_link_lost(self, name: str, now: float, orderly: bool = False) -> None:
        if name in self._dialled:
            self.on_dial_failed(self._dialled.pop(name), now)

    def on_dial_failed(self, address: tuple[str, int], now: float) -> None:
        self._at[address] = now + self.WAIT_S

    def on_dial_rejected(self, address: tuple[str, int], now: float, refusal: LinkRejected) -> None:
        self.on_dial_failed(address, now)

    def addresses_to_dial(self, now: float) -> list[tuple[str, int]]:
        due = [address for address, at in self._at.items() if at <= now]
        self._at.update(dict.fromkeys(due, float("inf")))
        return due

    def links_to_close(self, now: float) -> list[str]:
        return []

    def next_wakeup(self, now: float) -> float:
        return min([now + 1.0, *self._at.values()])
