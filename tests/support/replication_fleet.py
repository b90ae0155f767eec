"""Replicas of the store in simulated time, with the invariants that hold after each step of a schedule."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from sageturn.store.errors import SessionRejectedError
from sageturn.store.records import MAX_FRAME_BYTES, RecordOrder, StoreRecord, supersedes
from sageturn.store.replica_state import ReplicaState
from sageturn.store.replication.anti_entropy import MAX_REQUESTED_KEYS
from sageturn.store.replication.chunk_sender import MAX_CHUNKS_IN_FLIGHT, MAX_URGENT_CHUNKS_IN_FLIGHT
from sageturn.store.replication.keep_alive import PEER_TIMEOUT_S
from sageturn.store.replication.location import ReplicaLocation
from sageturn.store.replication.membership import LinkRejected, Member
from sageturn.store.replication.priority import PRIORITY_CLASSES, priority_of
from sageturn.store.replication.replica import Replica
from sageturn.store.replication.routes import RouteAdvertisement
from sageturn.store.replication.send_allowance import MAX_CHUNK_BYTES
from sageturn.store.replication.session import ReplicationSession
from sageturn.store.store import Store

MAX_QUEUED_FRAMES = 8  # frames queued for one side of a connection, as in a socket buffer
DAY_S = 86400.0
STARTED_AT_S = 1000.0
CONTROL_BYTES_PER_S = 12_000.0  # hellos, heartbeats and acknowledgements, which the budget never delays


@dataclass
class SimulatedConnection:
    """Connection between two replicas: per side its session, and the frames in transit to it."""

    ends: tuple[str, str]
    sessions: dict[str, ReplicationSession]
    queues: dict[str, deque[bytes]] = field(default_factory=dict)
    not_reading: set[str] = field(default_factory=set)  # sides that currently read nothing
    sent_bytes: int = 0
    sent_bytes_by: dict[str, int] = field(default_factory=dict)
    frames: int = 0
    rejections: list[str] = field(default_factory=list)

    def peer_of(self, name: str) -> str:
        return self.ends[0] if name == self.ends[1] else self.ends[1]

    def record_sent(self, sender: str, payload: bytes) -> None:
        self.queues[self.peer_of(sender)].append(payload)
        self.sent_bytes += len(payload)
        self.sent_bytes_by[sender] = self.sent_bytes_by.get(sender, 0) + len(payload)
        self.frames += 1


class ClusterInvariants:
    """Checks of the invariants of a cluster, after each step of a schedule."""

    def __init__(self, cluster: SimulatedCluster) -> None:
        self._cluster = cluster
        self._orders: dict[tuple[str, str], RecordOrder] = {}  # last order seen, by replica and key

    def on_replica_started(self, name: str) -> None:
        """Discard the orders seen at a replica: it may start with older versions than it had."""
        self._orders = {key: order for key, order in self._orders.items() if key[0] != name}

    def check(self) -> None:
        for name, replica in self._cluster.replicas.items():
            self._check_orders(name, replica)
            self._check_change_logs(replica)
            self._check_budget(replica)
        self._check_cursors()
        for connection in self._cluster.connections.values():
            for session in connection.sessions.values():
                self._check_memory(session)

    def _check_orders(self, name: str, replica: Replica) -> None:
        for record in replica.store.records():
            last = self._orders.get((name, record.key))
            assert last is None or last <= record.order, "an older version replaced a newer one"
            self._orders[name, record.key] = record.order

    @staticmethod
    def _check_change_logs(replica: Replica) -> None:
        """Check that the change logs and trees contain exactly what the store holds."""
        for priority in PRIORITY_CLASSES:
            change_log = replica.records.changes.logs[priority]
            entries = list(change_log.since(0))
            held = {record.key for record in replica.store.records() if priority_of(record.key) == priority}
            assert {key for _, key, _ in entries} == held and len(entries) == len(held)
            assert [entry[0] for entry in entries] == sorted(entry[0] for entry in entries)
            assert not entries or entries[-1][0] <= change_log.head
            assert change_log.order_length <= 2 * len(held) + 66

    def _check_budget(self, replica: Replica) -> None:
        budget = replica.budget
        elapsed_s = self._cluster.now - STARTED_AT_S
        assert (
            budget.consumed_bytes
            <= budget.rate * elapsed_s + budget.burst + budget.debt + CONTROL_BYTES_PER_S * (elapsed_s + 1)
        )

    def _check_cursors(self) -> None:
        """Check that a replica holds all changes of a peer up to the revision that it has acknowledged."""
        leaders = {
            replica.records.changes.incarnation: replica for replica in self._cluster.replicas.values()
        }
        for follower in self._cluster.replicas.values():
            for incarnation, cursors in follower.records.followed_cursors.items():
                leader = leaders.get(incarnation)
                if leader is None:
                    continue
                for priority, cursor in zip(PRIORITY_CLASSES, cursors, strict=True):
                    for revision, key, _ in leader.records.changes.logs[priority].since(0):
                        if revision <= cursor.backlog or cursor.backlog_end < revision <= cursor.live:
                            record, held = leader.store.record(key), follower.store.record(key)
                            assert record is not None
                            # A record may be missing if the follower has discarded a tombstone of its key.
                            is_tombstone_discarded = (
                                held is None
                                and record.version <= follower.store.replica_state.tombstone_floor
                            )
                            is_current = held is not None and not supersedes(record, held)
                            assert is_tombstone_discarded or is_current, f"{key} at {revision} was skipped"

    @staticmethod
    def _check_memory(session: ReplicationSession) -> None:
        assert session.change_exchange.chunks_in_flight <= MAX_CHUNKS_IN_FLIGHT + MAX_URGENT_CHUNKS_IN_FLIGHT
        assert session.anti_entropy.requested_items <= MAX_REQUESTED_KEYS
        assert len(session.peer) < 300 and MAX_CHUNK_BYTES <= MAX_FRAME_BYTES


class SimulatedCluster:
    """Replicas in simulated time, whose connections follow a schedule."""

    def __init__(self, names: str, seed: int, rate: float = 27_000.0, horizon_s: float = 7 * DAY_S) -> None:
        self.rng = random.Random(seed)
        self.now = STARTED_AT_S
        self.wall_epoch_s = 1_800_000_000.0
        self.rate = rate
        self.horizon_s = horizon_s
        self.replicas: dict[str, Replica] = {}
        self.connections: dict[tuple[str, str], SimulatedConnection] = {}
        self.rejections: list[str] = []
        self.expects_peers = False  # whether replicas that are started from now on have seeds
        self._client_count = 0
        self.invariants = ClusterInvariants(self)
        for name in names:
            self.start(name, Store(name, wall_clock=self.wall))

    def wall(self) -> float:
        return self.wall_epoch_s + self.now

    def start(self, name: str, store: Store) -> None:
        location = ReplicaLocation(("127.0.0.1", 1 + ord(name[0])), "r", name)
        self.replicas[name] = Replica(
            store,
            random.Random(self.rng.random()),
            self.now,
            location,
            max_bytes_per_s=self.rate,
            horizon_s=self.horizon_s,
            expects_peers=self.expects_peers,
        )
        self.invariants.on_replica_started(name)

    def store(self, name: str) -> Store:
        return self.replicas[name].store

    # ------------------------------------------------------------ operations of a schedule

    def put(self, name: str, key: str, value: object) -> StoreRecord:
        return self.store(name).put(key, value)

    def write_through_client(self, name: str, key: str, value: object, seconds: float = 30.0) -> bool:
        """Write as an operator's command does; return whether the replica has acknowledged the write."""
        client = self.start_client()
        store = self.store(client)
        self.connect(client, name)
        session = self.connections[client, name].sessions[client]
        is_written = False
        until = self.now + seconds
        while (client, name) in self.connections and self.now < until:
            if session.is_caught_up and not is_written:
                store.put(key, value)
                is_written = True
            if is_written and session.change_exchange.is_delivered:
                break
            self.run(0.02)
        self.stop_client(client, name)
        return is_written and session.change_exchange.is_delivered

    def start_client(self) -> str:
        """Start an operator's client, which is no member; return its name."""
        self._client_count += 1
        client = f"operator-{self._client_count}"
        store = Store(client, wall_clock=self.wall, versions_follow_clock=True)
        self.replicas[client] = Replica(store, random.Random(self.rng.random()), self.now)
        return client

    def stop_client(self, client: str, name: str) -> None:
        """Stop a client that was connected to the replica ``name``."""
        self.disconnect(client, name)
        del self.replicas[client]

    def restart(self, name: str, wiped: bool = False) -> None:
        """Restart a replica with the records on its disk, or with none if it was wiped."""
        for ends in [ends for ends in self.connections if name in ends]:
            self.disconnect(*ends)
        old = self.store(name)
        new = Store(name, wall_clock=self.wall)
        if not wiped:
            new.merge([*old.records(), *old.quarantined_records])  # a log has both
            new.replica_state_file.state = old.replica_state
        self.start(name, new)

    def connect(self, one: str, other: str) -> None:
        ends = (one, other)
        if one == other or ends in self.connections or ends[::-1] in self.connections:
            return
        first = self.replicas[one].open_session(other, self.now, ("127.0.0.1", 9))
        second = self.replicas[other].open_session(one, self.now)
        self.connections[ends] = SimulatedConnection(
            ends, {one: first, other: second}, {one: deque(), other: deque()}
        )

    def disconnect(self, one: str, other: str) -> None:
        """Break the connection; frames in transit are lost."""
        connection = self.connections.pop((one, other), None) or self.connections.pop((other, one), None)
        if connection is not None:
            self.rejections += connection.rejections
            for name, session in connection.sessions.items():
                self.replicas[name].on_session_closed(session, self.now)

    def repeat_last_frame(self, one: str, other: str) -> None:
        """Deliver the last frame in transit to ``other`` twice, which an authenticated channel rejects."""
        connection = self.connections.get((one, other)) or self.connections.get((other, one))
        if connection is not None and connection.queues[other]:
            connection.queues[other].append(connection.queues[other][-1])

    def swap_last_frames(self, one: str, other: str) -> None:
        """Swap the last two frames in transit to ``other``, which an authenticated channel rejects."""
        connection = self.connections.get((one, other)) or self.connections.get((other, one))
        if connection is not None and len(connection.queues[other]) >= 2:
            last = connection.queues[other].pop()
            connection.queues[other].insert(len(connection.queues[other]) - 1, last)

    def stop_reading(self, one: str, other: str) -> None:
        """Make ``other`` stop reading from ``one``."""
        connection = self.connections.get((one, other)) or self.connections.get((other, one))
        if connection is not None:
            connection.not_reading.add(other)

    def step(self) -> bool:
        """Let one side of one connection send or receive one frame. Return False if all are idle."""
        sides = [(connection, name) for connection in self.connections.values() for name in connection.ends]
        self.rng.shuffle(sides)
        has_waiting_frames = False
        for connection, name in sides:
            if connection.ends not in self.connections:
                continue
            can_receive = bool(connection.queues[name] and name not in connection.not_reading)
            has_waiting_frames = has_waiting_frames or can_receive
            if can_receive and self.rng.random() < 0.6:
                self._receive_frame(connection, name)
                return True
            if self._send_frame(connection, name):
                return True
            self.replicas[name].tick(self.now)
        return has_waiting_frames

    def _receive_frame(self, connection: SimulatedConnection, name: str) -> None:
        session = connection.sessions[name]
        payload = connection.queues[name].popleft()
        if session.closing.detail:
            return
        try:
            session.receive(payload, self.now)
        except SessionRejectedError as rejection:
            connection.rejections.append(str(rejection))
            session.close(str(rejection), session.closing.code)
        if session.closing.peer_detail:
            self.disconnect(*connection.ends)

    def _send_frame(self, connection: SimulatedConnection, name: str) -> bool:
        """Return whether a frame was sent, or the connection closed because the peer reads nothing."""
        session = connection.sessions[name]
        other = connection.peer_of(name)
        if len(connection.queues[other]) >= MAX_QUEUED_FRAMES:
            is_unresponsive = self.now - session.keep_alive.last_received_at >= PEER_TIMEOUT_S
            is_timed_out = session.wake_at(self.now) <= self.now and is_unresponsive
            if is_timed_out:
                self.disconnect(*connection.ends)
            return is_timed_out
        payload = session.next_payload(self.now)
        if payload is None:
            return False
        assert len(payload) <= MAX_FRAME_BYTES
        connection.record_sent(name, payload)
        if session.closing.detail:
            self._finish(connection, session, other)
        return True

    def _finish(self, connection: SimulatedConnection, session: ReplicationSession, other: str) -> None:
        """Close a side that has sent its last frame; the other side may never receive that frame."""
        is_unresponsive = session.closing.detail.startswith("silent")
        if is_unresponsive or connection.not_reading or self.rng.random() < 0.3:
            self.disconnect(*connection.ends)
        else:
            self._deliver_remaining(connection, other)

    def _deliver_remaining(self, connection: SimulatedConnection, name: str) -> None:
        session = connection.sessions[name]
        while connection.queues[name] and not session.closing.peer_detail and not session.closing.detail:
            try:
                session.receive(connection.queues[name].popleft(), self.now)
            except SessionRejectedError as rejection:
                connection.rejections.append(str(rejection))
                break
        self.disconnect(*connection.ends)

    def run(self, seconds: float, max_steps: int = 1_000_000) -> int:
        """Run steps for ``seconds`` of simulated time; return the number of steps."""
        until = self.now + seconds
        steps = 0
        while steps < max_steps:
            steps += 1
            if not self.step():
                if self.now >= until:
                    break
                sessions = [
                    session
                    for connection in self.connections.values()
                    for session in connection.sessions.values()
                ]
                wake_times = [session.wake_at(self.now) for session in sessions]
                self.now = min(until, max(self.now + 0.01, min(wake_times, default=until)), self.now + 2.0)
        return steps

    def converge(self, seconds: float = 60.0, links: list[tuple[str, str]] | None = None) -> bool:
        """Keep all replicas connected, in a ring by default, until they converge or ``seconds`` have passed.

        Return whether they converged.
        """
        names = sorted(self.replicas)
        ring = links or list(zip(names, names[1:] + names[:1], strict=True))
        until = self.now + seconds
        while self.now < until:
            for connection in self.connections.values():
                connection.not_reading.clear()
            for ends in ring:
                self.connect(*ends)
            self.run(0.5)
            if self.is_consistent() and all(
                self._is_caught_up(connection) for connection in self.connections.values()
            ):
                return True
        return False

    @staticmethod
    def _is_caught_up(connection: SimulatedConnection) -> bool:
        return all(session.is_caught_up for session in connection.sessions.values())

    def newest(self) -> dict[str, StoreRecord]:
        best: dict[str, StoreRecord] = {}
        for replica in self.replicas.values():
            for record in replica.store.records():
                if supersedes(record, best.get(record.key)):
                    best[record.key] = record
        return best

    def is_consistent(self) -> bool:
        return self.is_consistent_among(self.replicas)

    def is_consistent_among(self, names: Iterable[str]) -> bool:
        return len({tuple(self.replicas[name].records.changes.roots) for name in names}) == 1


def make_synced_cluster(names: str, seed: int, **options: float) -> SimulatedCluster:
    """Return a cluster whose replicas are in sync, linked in a star around the first."""
    cluster = SimulatedCluster(names, seed, **options)
    for name in names:
        cluster.store(name).replica_state_file.state = ReplicaState(cluster.wall(), 0)
    for name in names[1:]:
        cluster.connect(names[0], name)
    cluster.run(5.0)
    return cluster


class SeedDialer:
    """Topology that dials every seed, and dials it again after each disconnection."""

    membership_status = "member"
    REDIAL_DELAY_S = 0.05

    def __init__(self, own: Member, seeds: Sequence[tuple[str, int]] = ()) -> None:
        self._dial_times = dict.fromkeys(seeds, 0.0)
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

    def on_link_closed(self, name: str, now: float, orderly: bool = False) -> None:
        if name in self._dialled:
            self.on_dial_failed(self._dialled.pop(name), now)

    def on_dial_failed(self, address: tuple[str, int], now: float) -> None:
        self._dial_times[address] = now + self.REDIAL_DELAY_S

    def on_dial_rejected(self, address: tuple[str, int], now: float, rejection: LinkRejected) -> None:
        self.on_dial_failed(address, now)

    def addresses_to_dial(self, now: float) -> list[tuple[str, int]]:
        due_addresses = [address for address, dial_at in self._dial_times.items() if dial_at <= now]
        self._dial_times.update(dict.fromkeys(due_addresses, float("inf")))
        return due_addresses

    def links_to_close(self, now: float) -> list[str]:
        return []

    def next_wakeup(self, now: float) -> float:
        return min([now + 1.0, *self._dial_times.values()])
