"""One copy among others: its store, what changed in it, and all its links. No I/O, no clock of its own.

``now`` is the seconds of a monotonic clock, passed in; ``store.wall_clock`` tells Unix seconds. What is newly
taken from one link shows in the copy's sequences and so goes out on all others; records have an order, an
older one never takes a newer one's place, so loops end by themselves.

A copy is *fresh* when it was in step within the horizon, after which deletions are forgotten. One that is
not, and meets one that is, drops what it has from others and takes it anew: what it holds may have been
deleted and the deletion forgotten. Until then nobody fresh takes anything from it.
"""

from __future__ import annotations

import logging
from collections import OrderedDict
from collections.abc import Callable, Iterable, Sequence
from random import Random
from typing import Any

from sageturn.store.records import STATE_PREFIX, StoreRecord
from sageturn.store.replication.backoff import Backoff
from sageturn.store.replication.byte_budget import ByteBudget
from sageturn.store.replication.changes import ChangeLogSet
from sageturn.store.replication.close_code import CloseCode
from sageturn.store.replication.location import ReplicaLocation
from sageturn.store.replication.membership import LinkRejected, Member
from sageturn.store.replication.options import DEFAULT_HORIZON_S, DEFAULT_MAX_BYTES_PER_S
from sageturn.store.replication.routes import RouteAdvertisement
from sageturn.store.replication.session import (
    Cursor,
    Hello,
    ReplicationSession,
    old_copies_word,
)
from sageturn.store.replication.topology import Address, Topology, TopologyFactory
from sageturn.store.replication.wire import SessionRejected, natural
from sageturn.store.store import Store

log = logging.getLogger(__name__)

MEMBER = "/member"
REMOVED_KEYS = "config/removed/"
FORGET_MARGIN = 0.1  # of the horizon: clocks of members differ by less
TICK_S = 5.0
SETTLE_S = 60.0  # copies of which none is fresh agree after so long that what they hold counts
CURSORS_MOST = 2048
GHOST_S, GHOST_MOST_S = 10.0, 600.0
GHOST_AHEAD = 1 << 40  # some hours of the clock: a ghost of one's own may be that far ahead


class Replica:
    """``place`` None: an operator's copy for a moment (a guest), which is no member."""

    def __init__(
        self,
        store: Store,
        rng: Random,
        now: float,
        place: ReplicaLocation | None = None,
        make_topology: TopologyFactory | None = None,
        max_bytes_per_s: float = DEFAULT_MAX_BYTES_PER_S,
        horizon_s: float = DEFAULT_HORIZON_S,
    ) -> None:
        self.store, self.place, self.horizon_s = store, place, horizon_s
        self._rng = rng
        self._make_topology = make_topology
        self.budget = ByteBudget(max_bytes_per_s, now)
        self.sessions: list[ReplicationSession] = []
        self.cursors: OrderedDict[int, list[Cursor]] = OrderedDict()
        self.on_output_pending: Callable[[], None] = lambda: None  # links may have something to say
        self.on_tick_due: Callable[[], None] = lambda: None  # ``tick`` is wanted now
        # Nothing of others' here, or only what came from one in step since then (Unix seconds).
        self._blank = not self.recently_in_sync and all(
            record.node == store.node for record in store.records()
        )
        self._filled_since: float | None = None
        self.members: dict[str, Member] = {}
        self.removed: set[str] = set()
        self._tombstones: dict[str, float] = {}
        self.zone_last_heard: dict[str, float] = {}
        self._source: ReplicationSession | None = None
        self._settling_since: float | None = None
        self._tick_at = now
        self._members_changed = True
        self.topology: Topology | None = None
        # Two that live under one name would outdo each other for ever, and each time at once.
        self._ghosts = Backoff(GHOST_S, GHOST_MOST_S, rng)
        self._ghost_at = now
        self._begin()
        store.on_change.append(self._changed)
        store.on_forgotten.append(self._forgotten)

    def _begin(self, ahead: int = 1) -> None:
        """A new incarnation: what others remember of an earlier one's sequences does not hold for this."""
        known = self.store.get(self._member_key) or {}
        last = known.get("incarnation", 0) if isinstance(known, dict) else 0
        fresh = int(self.store.wall_clock() * 1000) << 16 | self._rng.getrandbits(16)
        own = max(last if isinstance(last, int) else 0, getattr(self, "changes", ChangeLogSet(0)).incarnation)
        self.changes = ChangeLogSet(max(fresh, own + ahead))
        self.members.clear()
        self._tombstones.clear()
        self.removed = {key.removeprefix(REMOVED_KEYS) for key in self.store.keys(REMOVED_KEYS)}
        for node in self.removed - {self.store.node}:
            self._forget_states(node)
        for record in self.store.records():
            self.changes.note(record)
            self._index(record)
        self.cursors.clear()
        if self.place is not None:
            if self._make_topology is not None:
                self.topology = self._make_topology(self._own_member())
            self._see_members()

    def _see_members(self) -> None:
        self._members_changed = True
        self.on_tick_due()

    def announce(self) -> None:
        """Tells the others where this member is reached."""
        assert self.place is not None
        host, port = self.place.address
        word = {
            "address": f"{host}:{port}",
            "region": self.place.region,
            "zone": self.place.zone,
            "incarnation": self.changes.incarnation,
        }
        if self.store.get(self._member_key) != word:
            self.store.put(self._member_key, word)

    def _own_member(self) -> Member:
        assert self.place is not None
        place = self.place
        return Member(self.store.node, place.address, place.region, place.zone, self.changes.incarnation)

    @property
    def _member_key(self) -> str:
        return f"{STATE_PREFIX}{self.store.node}{MEMBER}"

    @property
    def guest(self) -> bool:
        return self.place is None

    @property
    def member_word(self) -> list[Any] | None:
        place = self.place
        return None if place is None else [*place.address, place.region, place.zone]

    def close(self) -> None:
        self.store.on_change.remove(self._changed)
        self.store.on_forgotten.remove(self._forgotten)

    # ------------------------------------------------------------ the store

    def _changed(self, records: list[StoreRecord]) -> None:
        source = 0
        if self._source is not None and self._source.peer_hello is not None:
            source = self._source.peer_hello.incarnation
        for record in records:
            self.changes.note(record, source)
        for record in records:
            self._index(record)
        self.on_output_pending()

    def _forgotten(self, keys: list[str]) -> None:
        for key in keys:
            self.changes.remove(key)
            self._tombstones.pop(key, None)

    def _index(self, record: StoreRecord) -> None:
        key = record.key
        self._tombstones.pop(key, None)
        if record.value is None and record.written_ms is not None:
            self._tombstones[key] = record.written_ms / 1000.0
        if key.startswith(STATE_PREFIX) and key.endswith(MEMBER):
            member = read_member(record)
            if member is None:
                self.members.pop(record.node, None)
            else:
                self.members[record.node] = member
            self._see_members()
        elif key.startswith(REMOVED_KEYS):
            self._remove(key.removeprefix(REMOVED_KEYS), record.value is not None)

    def _remove(self, node: str, gone: bool) -> None:
        if not gone:
            self.removed.discard(node)
            return
        self.removed.add(node)
        self._see_members()
        if node == self.store.node:
            if self.store.replica_state.last_in_sync is not None:
                log.warning("store: this member was removed; it has to start over if it is added again")
                self.store.set_last_in_sync(None)
            return
        self.members.pop(node, None)
        self._forget_states(node)
        for session in self.sessions:
            if session.peer == node:
                session.close(f"{node} was removed", CloseCode.REMOVED)

    def _forget_states(self, node: str) -> None:
        states = f"{STATE_PREFIX}{node}/"
        self.store.forget([record.key for record in self.store.records() if record.key.startswith(states)])

    def take(self, records: Iterable[StoreRecord], session: ReplicationSession) -> int:
        """What a link brought; returns how much of it was news. A fault of the disk is raised."""
        news = [record for record in records if not self._of_no_use(record)]
        self._source = session
        try:
            taken = self.store.merge(news)
        finally:
            self._source = None
        if taken and not session.guest:
            if not session.fresh:
                self._blank = False
            elif self._filled_since is None:
                self._filled_since = self.store.wall_clock()
        return taken

    def _of_no_use(self, record: StoreRecord) -> bool:
        if (
            record.key.startswith(STATE_PREFIX)
            and record.node in self.removed
            and record.node != self.store.node
        ):
            return True
        # A deletion past the horizon that is not known here was forgotten here, or deletes nothing.
        return self._expired(record) and self.store.record(record.key) is None

    def _expired(self, record: StoreRecord) -> bool:
        if record.value is not None or record.written_ms is None:
            return False
        return self.store.wall_clock() - record.written_ms / 1000.0 > self.horizon_s

    # ------------------------------------------------------------ links

    def open_session(self, peer: str, now: float, dialled: Address | None = None) -> ReplicationSession:
        session = ReplicationSession(self, peer, now, dialled)
        self.sessions.append(session)
        return session

    def on_session_closed(self, session: ReplicationSession, now: float) -> None:
        """The link is gone, whoever ended it. To be called once for each session."""
        if session not in self.sessions:
            return
        self.sessions.remove(session)
        self.on_tick_due()
        if (
            session.peer_close_code == CloseCode.AWAY
            and self.foreign
            and not self.recently_in_sync
            and not self.guest
        ):
            self._start_over()
        elif (
            session.peer_close_code == CloseCode.REMOVED
            and not self.guest
            and self.store.replica_state.last_in_sync is not None
        ):
            log.warning("store: %s says that this member was removed", session.peer)
            self.store.set_last_in_sync(None)
        if self.topology is None or session.guest:
            return
        orderly = CloseCode.ORDERLY in (
            session.peer_close_code,
            session.close_code if session.close_detail else "",
        )
        if session.peer_hello is not None:
            if not any(other.peer == session.peer and other.peer_hello for other in self.sessions):
                self.topology.on_link_lost(session.peer, now, orderly)
        elif session.dialled is not None:
            if session.alternatives or session.peer_close_code in ("full", "same name", "superseded"):
                self.topology.on_dial_rejected(session.dialled, now, read_turned(session))
            else:
                self.topology.on_dial_failed(session.dialled, now)

    def admit(self, session: ReplicationSession, hello: Hello, claimed: bool, now: float) -> None:
        """Raises Refusal where the other side's greeting doesn't allow a link."""
        if hello.guest or self.guest:
            return

        def refuse(why: str, text: str) -> None:
            session.close_code = why
            raise SessionRejected(text)

        if hello.node == self.store.node:
            refuse("same name", f"a second copy that calls itself {hello.node}")
        if hello.node in self.removed:
            refuse(CloseCode.REMOVED, f"{hello.node} was removed")
        if hello.fresh and not claimed and self.foreign:
            self._start_over()
            refuse(CloseCode.LATER, "away for longer than deletions are remembered: starting over")
        if claimed and not hello.fresh and hello.foreign:
            refuse(
                CloseCode.AWAY,
                f"{hello.node} was away for longer than deletions are kept: it must start over",
            )
        if not claimed and not hello.fresh and hello.foreign and any(s.fresh for s in self.sessions):
            refuse(CloseCode.LATER, "being filled by a member that is in step")
        if session.dialled is None and self.topology is not None and hello.member is not None:
            host, port, region, zone = hello.member
            member = Member(hello.node, (host, port), region, zone, hello.incarnation)
            turned = self.topology.check_admission(member, now)
            if turned is not None:
                session.alternatives = [_pack_member(member) for member in turned.alternatives]
                refuse(turned.reason, f"not here: {turned.reason}")

    def linked(self, session: ReplicationSession, now: float) -> None:
        """The greetings are exchanged."""
        hello = session.peer_hello
        assert hello is not None
        if session.guest:
            return
        self.hear_floor(hello.floor)
        for other in list(self.sessions):
            if other is session or other.peer_hello is None or other.guest:
                continue
            if other.peer == session.peer:
                self._keep_one(other, session)
            elif session.fresh and not self.recently_in_sync and not other.fresh:
                other.close("being filled by a member that is in step", CloseCode.LATER)
        if self.topology is not None and not session.close_detail:
            self.topology.on_link_established(session.peer, now, session.dialled)
            self.on_tick_due()

    def _keep_one(self, old: ReplicationSession, new: ReplicationSession) -> None:
        """Of two links between two members that of the smaller dialler stays, or of one dialler the newer."""
        assert old.peer_hello is not None and new.peer_hello is not None

        def dialler(session: ReplicationSession) -> str:
            return self.store.node if session.dialled is not None else session.peer

        if old.peer_hello.incarnation == new.peer_hello.incarnation and dialler(old) < dialler(new):
            new.close("a second link", CloseCode.ORDERLY)
        else:
            old.close("a second link", CloseCode.ORDERLY)

    def may_follow(self, session: ReplicationSession) -> bool:
        if session.guest or session.fresh:
            return True
        return not self.recently_in_sync and not any(other.fresh for other in self.sessions)

    def remember(self, incarnation: int, cursors: list[Cursor]) -> None:
        self.cursors[incarnation] = cursors
        self.cursors.move_to_end(incarnation)
        if len(self.cursors) > CURSORS_MOST:
            self.cursors.popitem(last=False)

    def make_bye(self, session: ReplicationSession) -> dict[str, Any]:
        word = {"bye": [session.close_code, session.close_detail, session.alternatives]}
        return {**word, "records": old_copies_word()} if session.close_code == CloseCode.VERSION else word

    # ------------------------------------------------------------ in step

    @property
    def recently_in_sync(self) -> bool:
        in_step = self.store.replica_state.last_in_sync
        return in_step is not None and self.store.wall_clock() - in_step <= self.horizon_s

    @property
    def foreign(self) -> bool:
        """Whether what it holds of others may have been deleted meanwhile, were it not fresh."""
        since = self._filled_since
        return not self._blank or (since is not None and self.store.wall_clock() - since > self.horizon_s)

    def progressed(self, session: ReplicationSession, now: float) -> None:
        at = session.in_step_at()
        if at is None or self.guest or session.guest or not session.fresh:
            return
        was = self.recently_in_sync
        self.store.set_last_in_sync(max(at, self.store.replica_state.last_in_sync or 0.0))
        if not was and not self.foreign:
            # Filled by one that is in step; what others still offer may have been deleted meanwhile.
            for other in self.sessions:
                if not other.fresh and not other.guest and other.peer_hello is not None:
                    other.close("in step now: greet again", CloseCode.LATER)
        self._blank = False

    def _start_over(self) -> None:
        dropped = self.store.drop_copied()
        log.warning("store: away for longer than deletions are kept: %d records dropped", dropped)
        self._blank, self._filled_since = True, None
        for session in self.sessions:
            session.close("starting over", CloseCode.LATER)
        self._begin()
        if self.place is not None:
            self.announce()

    # ------------------------------------------------------------ what beats carry

    def hear_floor(self, floor: int) -> None:
        self.store.raise_tombstone_floor(floor)

    def zone_ages(self, now: float) -> dict[str, float]:
        """Seconds since the last word that left each zone, as ``region/zone``; 0 for one's own."""
        own = self.place.zone_label if self.place is not None else None
        return {
            zone: 0.0 if zone == own else round(max(0.0, now - at), 1)
            for zone, at in sorted(
                {**self.zone_last_heard, **({own: now} if own is not None else {})}.items()
            )
        }

    def merge_zone_ages(self, ages: dict[str, Any], now: float) -> None:
        for zone, age in ages.items():
            if not isinstance(age, int | float) or isinstance(age, bool) or not 0.0 <= age < 1e9:
                raise SessionRejected("no age")
            known = self.zone_last_heard.get(zone)
            if known is not None or len(self.zone_last_heard) < 64:
                self.zone_last_heard[zone] = max(now - age, known if known is not None else now - age)

    def beacon(self, session: ReplicationSession, now: float) -> list[Any] | None:
        if self.topology is None or session.guest:
            return None
        beacon = self.topology.make_advertisement(session.peer, now)
        return [
            f"{beacon.root_rank:x}",
            beacon.root_incarnation,
            beacon.sequence,
            beacon.is_root_path,
            beacon.member_count,
        ]

    def hear_beacon(self, session: ReplicationSession, beacon: Any, now: float) -> None:
        if self.topology is None or beacon is None:
            return
        rank, incarnation, beat, port, count = beacon
        if not isinstance(rank, str) or len(rank) > 32:
            raise SessionRejected("no beacon")
        word = RouteAdvertisement(
            int(rank, 16), natural(incarnation), natural(beat), port is True, natural(count)
        )
        self.topology.on_advertisement(session.peer, word, now)

    # ------------------------------------------------------------ time

    def tick(self, now: float) -> tuple[Sequence[Address], float]:
        """What is due: the addresses to dial now, and when to come again at the latest."""
        if now >= self._tick_at:
            self._tick_at = now + TICK_S
            self._settle(now)
            self._forget(now)
        if self.topology is None:
            return (), self._tick_at
        if self._members_changed:
            self._members_changed = False
            self.topology.update_members(m for m in self.members.values() if m.name not in self.removed)
        if self.topology.membership_status == "superseded" and now >= self._ghost_at:
            self._ghost_at = now + self._ghosts.next_delay_s()
            log.warning("store: an earlier word of this member counts as newer: a larger incarnation is told")
            for session in self.sessions:
                session.close("a new incarnation", CloseCode.LATER)
            self._begin(GHOST_AHEAD)
            self.announce()
            assert self.topology is not None
        for name in self.topology.links_to_close(now):
            for session in self.sessions:
                if session.peer == name and session.peer_hello is not None and not session.guest:
                    session.close("not needed any more", CloseCode.ORDERLY)
        dial = self.topology.addresses_to_dial(now)
        return dial, min(self._tick_at, self.topology.next_wakeup(now))

    def _settle(self, now: float) -> None:
        """Where nobody is fresh (a new fleet, or one that was all off for long), those linked agree to be."""
        links = [s for s in self.sessions if s.peer_hello is not None and not s.guest]
        if self.recently_in_sync or not links or any(s.fresh or not s.caught_up for s in links):
            self._settling_since = None
        elif self._settling_since is None:
            self._settling_since = now
        elif now - self._settling_since >= SETTLE_S:
            self.store.set_last_in_sync(self.store.wall_clock())
            self._blank = False

    def _forget(self, now: float) -> None:
        """Deletions past the horizon, but only while every zone is heard of.

        Those in one that is cut off may hold what was deleted, and count as in step by their own measure.
        """
        in_step = self.store.replica_state.last_in_sync
        wall = self.store.wall_clock()
        if in_step is None or wall - in_step > self.horizon_s / 2 or not self._tombstones:
            return
        own = self.place.zone_label if self.place is not None else ""
        zones = {f"{m.region}/{m.zone}" for m in self.members.values() if m.name not in self.removed} - {own}
        if any(now - self.zone_last_heard.get(zone, -1e18) > self.horizon_s / 2 for zone in zones):
            return
        limit = wall - self.horizon_s * (1.0 + FORGET_MARGIN)
        old = [key for key, at in self._tombstones.items() if at < limit]
        if old:
            self.store.forget(old)


def read_member(record: StoreRecord) -> Member | None:
    """None for a word that is no member's, or was taken back."""
    value = record.value
    if record.key != f"{STATE_PREFIX}{record.node}{MEMBER}" or not isinstance(value, dict):
        return None
    host, _, port = str(value.get("address", "")).rpartition(":")
    incarnation = value.get("incarnation")
    if not host or not port.isdigit() or not isinstance(incarnation, int):
        return None
    return Member(
        record.node, (host, int(port)), str(value.get("region", "")), str(value.get("zone", "")), incarnation
    )


def _pack_member(member: Member) -> list[Any]:
    return [member.name, *member.address, member.region, member.zone, member.incarnation]


def read_turned(session: ReplicationSession) -> LinkRejected:
    """The other side's refusal; whom it names instead is left out where that cannot be read."""
    instead = []
    for word in session.alternatives[:64]:
        try:
            name, host, port, region, zone, incarnation = word
            member = Member(
                str(name), (str(host), natural(port)), str(region), str(zone), natural(incarnation)
            )
        except (TypeError, ValueError):
            continue
        instead.append(member)
    return LinkRejected(session.peer_close_code, tuple(instead))
