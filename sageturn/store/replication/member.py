"""The driver: sockets and the clock under a replica, and an operator's copy for a moment."""

from __future__ import annotations

import asyncio
import logging
import secrets
import socket
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from random import Random

from sageturn.core.tasks import cancel_and_wait
from sageturn.net.admission import AdmissionController, PendingConnection
from sageturn.net.listener import Listener
from sageturn.net.sockets import ConnectFailure, connect
from sageturn.store.channel import AuthenticatedChannel
from sageturn.store.errors import HandshakeRejectedError, SessionRejected
from sageturn.store.replication.backoff import Backoff
from sageturn.store.replication.close_code import CloseCode
from sageturn.store.replication.liveness import PEER_TIMEOUT_S
from sageturn.store.replication.location import ReplicaLocation
from sageturn.store.replication.membership import Member
from sageturn.store.replication.options import ReplicationOptions
from sageturn.store.replication.overlay import Overlay
from sageturn.store.replication.replica import Replica
from sageturn.store.replication.session import ReplicationSession
from sageturn.store.replication.topology import TopologyFactory
from sageturn.store.store import Store

log = logging.getLogger(__name__)

CONNECT_S = 1.0  # a member that answers no SYN for so long is passed over: another may be in time still
HANDS_S = 1.5
BYE_S = 0.5
LOOK_S = 0.005  # how often a copy for a moment looks how far it is
STATED_AFTER_S = 10.0  # a zone silent for so long is told of in the state
STATES_PER_S = 10.0  # of the whole fleet: every state goes to every member, so the more there are the rarer


class ReplicationMember:
    """Accepts others' links, dials those that the overlay names, and carries frames between both."""

    def __init__(
        self,
        store: Store,
        options: ReplicationOptions,
        admission: AdmissionController,
        rng: Random,
        make_topology: TopologyFactory | None = None,
    ) -> None:
        self._options = options
        # Members are few and have to prove who they are: whoever crowds them out is cut off first.
        self._listener = Listener(options.listen, self._accepted, b"", admission)
        self.address = self._listener.address

        def overlay(own: Member) -> Overlay:
            return Overlay(own, options.seeds, rng)

        place = ReplicaLocation(self.address, options.region, options.zone)
        self.replica = Replica(
            store,
            rng,
            time.monotonic(),
            place,
            make_topology or overlay,
            options.max_bytes_per_s,
            options.horizon_s,
        )
        self._links = Links(self.replica, options.secret)
        self._due = asyncio.Event()
        self.replica.on_tick_due = self._due.set
        self._tasks: list[asyncio.Task[None]] = []
        self._dials: set[asyncio.Task[None]] = set()

    @property
    def link_count(self) -> int:
        return sum(1 for session in self.replica.sessions if session.peer_hello is not None)

    def state_report(self) -> dict[str, object]:
        """For operators: links, whether this copy is in step, and which zones are silent, for how long.

        Steps are coarse, or each look would be a change that has to spread.
        """
        ages = self.replica.zone_ages(time.monotonic())
        silent = {zone: int(age // 10 * 10) for zone, age in ages.items() if age >= STATED_AFTER_S}
        return {"links": self.link_count, "in_step": self.replica.recently_in_sync, "silent_s": silent}

    @property
    def state_report_interval_s(self) -> float:
        """How often this member may tell its state anew, so that all members' together stay few."""
        return len(self.replica.members) / STATES_PER_S

    def start(self) -> None:
        self._listener.start_listening()
        self.replica.announce()
        self._tasks = [asyncio.ensure_future(self._listener.run()), asyncio.ensure_future(self._keep())]

    async def stop(self) -> None:
        for task in [*self._tasks, *self._dials]:
            await cancel_and_wait(task)
        await self._listener.cancel_connections()
        self.replica.close()

    async def _keep(self) -> None:
        while True:
            self._due.clear()
            now = time.monotonic()
            dial, again_at = self.replica.tick(now)
            for address in dial:
                task = asyncio.ensure_future(self._dial(address))
                self._dials.add(task)
                task.add_done_callback(self._dials.discard)
            with suppress(TimeoutError):
                async with asyncio.timeout(max(0.0, again_at - now)):
                    await self._due.wait()

    async def _dial(self, address: tuple[str, int]) -> None:
        try:
            sock = await connect(address, CONNECT_S)
            if not isinstance(sock, ConnectFailure):
                try:
                    if not await self._links.serve(sock, address):
                        return
                finally:
                    sock.close()
        except Exception:  # a fault in one link must not end the others
            log.exception("store: a link to %s:%d failed", *address)
        assert self.replica.topology is not None
        self.replica.topology.on_dial_failed(address, time.monotonic())
        self._due.set()

    async def _accepted(self, sock: socket.socket, pending: PendingConnection) -> None:
        await self._links.serve(sock, None, pending)


class Links:
    """The running links of one replica."""

    def __init__(self, replica: Replica, secret: bytes) -> None:
        self._replica, self._secret = replica, secret
        self._wakes: set[asyncio.Event] = set()
        replica.on_output_pending = self._wake

    def _wake(self) -> None:
        for event in self._wakes:
            event.set()

    async def serve(
        self,
        sock: socket.socket,
        dialled: tuple[str, int] | None,
        pending: PendingConnection | None = None,
        opened: Callable[[ReplicationSession], None] = lambda session: None,
    ) -> str:
        """Runs a link to its end. Returns why it never came to greetings: the replica is not told of that."""
        link = AuthenticatedChannel(sock, self._secret, self._replica.store.node)
        try:
            async with pending.time_limit(HANDS_S) if pending else asyncio.timeout(HANDS_S):
                await link.perform_handshake(dialled is not None)
        except (OSError, TimeoutError) as error:
            why = str(error) or "timed out"
            log.warning("store: no link: %s", why)
            return why
        if pending is not None:
            pending.mark_active()
        session = self._replica.open_session(link.peer, time.monotonic(), dialled)
        opened(session)
        wake = asyncio.Event()
        self._wakes.add(wake)
        telling = asyncio.ensure_future(self._tell(link, session, wake))
        hearing = asyncio.ensure_future(self._hear(link, session, wake))
        try:
            done, _ = await asyncio.wait((telling, hearing), return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                fault = task.exception()
                if fault is not None and not isinstance(fault, OSError):
                    raise fault
                if fault is not None and not session.close_detail:
                    session.peer_close_detail = session.peer_close_detail or str(fault) or "it reads nothing"
            self._tell_log(session)
        finally:
            self._wakes.discard(wake)
            await cancel_and_wait(telling)
            await cancel_and_wait(hearing)
            self._replica.on_session_closed(session, time.monotonic())
        return ""

    @staticmethod
    def _tell_log(session: ReplicationSession) -> None:
        if session.close_detail:
            why, text = session.close_code, session.close_detail
        else:
            why, text = session.peer_close_code, f"ended by it: {session.peer_close_detail}"
        level = logging.INFO if why == CloseCode.ORDERLY else logging.WARNING
        log.log(level, "store: link to %s: %s", session.peer, text)

    async def _tell(
        self, link: AuthenticatedChannel, session: ReplicationSession, wake: asyncio.Event
    ) -> None:
        while True:
            wake.clear()
            now = time.monotonic()
            payload = session.next_payload(now)
            if payload is None:
                if session.peer_close_detail:
                    return
                with suppress(TimeoutError):
                    async with asyncio.timeout(max(0.0, session.wake_at(now) - now)):
                        await wake.wait()
            elif session.sent_bye:
                with suppress(TimeoutError):
                    async with asyncio.timeout(BYE_S):
                        await link.send(payload)
                return
            else:
                # A side that reads nothing is given up as one that says nothing is.
                async with asyncio.timeout(PEER_TIMEOUT_S):
                    await link.send(payload)

    async def _hear(
        self, link: AuthenticatedChannel, session: ReplicationSession, wake: asyncio.Event
    ) -> None:
        while not session.peer_close_detail:
            try:
                payload = await link.receive()
                if not session.close_detail:
                    session.receive(payload, time.monotonic())
            except (SessionRejected, HandshakeRejectedError) as error:
                session.close(str(error), session.close_code)
                await asyncio.sleep(BYE_S)  # what is to be said of it is being said
                return
            wake.set()


@asynccontextmanager
async def open_ephemeral_client(
    peer: tuple[str, int], secret: bytes, wait_s: float = 5.0
) -> AsyncIterator[Store]:
    """A copy for a moment: all that a running daemon has, and what is written to it is there when this ends.

    Raises TimeoutError when no daemon answers, or has not taken what was written, within ``wait_s``; a
    link over which records still come is waited for. The daemon's own reason is in its text.
    """
    store = Store(f"operator-{secrets.token_hex(4)}")
    replica = Replica(store, Random(secrets.token_bytes(8)), time.monotonic())
    links = Links(replica, secret)
    sessions: list[ReplicationSession] = []
    said: list[str] = []

    async def keep_linked() -> None:
        backoff = Backoff(0.1, 1.0, Random(secrets.token_bytes(8)))
        while True:
            sock = await connect(peer, CONNECT_S)
            if not isinstance(sock, ConnectFailure):
                try:
                    said.append(await links.serve(sock, peer, opened=sessions.append))
                finally:
                    sock.close()
                said.extend(session.peer_close_detail or session.close_detail for session in sessions)
                sessions.clear()
            await asyncio.sleep(backoff.next_delay_s())

    async def until(reached: Callable[[ReplicationSession], bool]) -> None:
        """The time runs anew with whatever comes."""
        deadline, held = time.monotonic() + wait_s, len(store)
        while not any(reached(session) for session in sessions):
            if time.monotonic() >= deadline:
                raise TimeoutError("; ".join(dict.fromkeys(filter(None, said))))
            await asyncio.sleep(LOOK_S)
            if len(store) != held:
                deadline, held = time.monotonic() + wait_s, len(store)

    running = asyncio.ensure_future(keep_linked())
    try:
        await until(lambda session: session.caught_up)
        yield store
        await until(lambda session: session.caught_up and session.delivered)
        for session in sessions:
            session.close("done", CloseCode.ORDERLY)
        with suppress(TimeoutError):
            async with asyncio.timeout(BYE_S):
                while replica.sessions:
                    await asyncio.sleep(LOOK_S)
    finally:
        await cancel_and_wait(running)
        replica.close()
