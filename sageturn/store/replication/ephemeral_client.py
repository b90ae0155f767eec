"""An ephemeral client: a short-lived replica of the store for a command-line tool.

It is not a member. It fetches all records of one member, sends the records written to it, and disconnects.
"""

from __future__ import annotations

import asyncio
import secrets
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from random import Random

from sageturn.core.tasks import cancel_and_wait
from sageturn.net.connecting import ConnectFailure, connect
from sageturn.store.replication.backoff import Backoff
from sageturn.store.replication.close_code import CloseCode
from sageturn.store.replication.errors import LinkNotEstablishedError
from sageturn.store.replication.link_dialer import CONNECT_TIMEOUT_S
from sageturn.store.replication.link_runner import LinkRunner, OutputSignal
from sageturn.store.replication.membership import Address
from sageturn.store.replication.replica import Replica, ReplicaCallbacks
from sageturn.store.replication.session import ReplicationSession
from sageturn.store.replication.session_driver import CLOSE_TIMEOUT_S
from sageturn.store.store import Store

PROGRESS_POLL_INTERVAL_S = 0.005
MIN_RECONNECT_BACKOFF_S = 0.1
MAX_RECONNECT_BACKOFF_S = 1.0
DEFAULT_TIMEOUT_S = 5.0
MAX_CATCH_UP_WAIT_S = 60.0


@asynccontextmanager
async def open_ephemeral_client(
    peer: Address, secret: bytes, timeout_s: float = DEFAULT_TIMEOUT_S
) -> AsyncIterator[Store]:
    """Provide a store that holds all records of a running member.

    The context ends once the member has acknowledged the records written to the store.

    Args:
        peer: The member's address.
        secret: The key from ``read_secret``.
        timeout_s: Maximum time to wait without a new record. While the member asks to come back later, as
            it is still catching up with others, the client waits up to ``MAX_CATCH_UP_WAIT_S``.

    Raises:
        TimeoutError: The member did not answer, or did not acknowledge the written records. The message
            lists the reasons why links failed.
    """
    client = _EphemeralClient(peer, secret, timeout_s)
    connecting = asyncio.ensure_future(client.keep_connected())
    try:
        await client.wait_until(lambda session: session.is_caught_up)
        yield client.store
        await client.wait_until(_has_exchanged_all)
        await client.disconnect()
    finally:
        await cancel_and_wait(connecting)
        client.close()


class _EphemeralClient:
    """The client's store, with a replica that maintains one link to the member."""

    def __init__(self, peer: Address, secret: bytes, timeout_s: float) -> None:
        self.store = Store(f"operator-{secrets.token_hex(4)}", versions_follow_clock=True)
        self._peer = peer
        self._timeout_s = timeout_s
        output_signal = OutputSignal()
        callbacks = ReplicaCallbacks(on_output_pending=output_signal.notify)
        self._replica = Replica(self.store, _seeded_random(), time.monotonic(), callbacks=callbacks)
        self._link_runner = LinkRunner(self._replica, secret, output_signal)
        self._sessions: list[ReplicationSession] = []
        self._failures: list[str] = []
        self._asked_to_wait_at: float | None = None  # monotonic seconds

    async def keep_connected(self) -> None:
        """Run one link after another, with a backoff between them, until the task is cancelled."""
        backoff = Backoff(MIN_RECONNECT_BACKOFF_S, MAX_RECONNECT_BACKOFF_S, _seeded_random())
        while True:
            sock = await connect(self._peer, CONNECT_TIMEOUT_S)
            if not isinstance(sock, ConnectFailure):
                try:
                    await self._link_runner.run(sock, self._peer, on_session=self._sessions.append)
                except LinkNotEstablishedError as error:
                    self._failures.append(str(error))
                finally:
                    sock.close()
                for session in self._sessions:
                    self._failures.append(session.closing.peer_detail or session.closing.detail)
                    if session.closing.peer_code == CloseCode.LATER:
                        self._asked_to_wait_at = time.monotonic()
                self._sessions.clear()
            await asyncio.sleep(backoff.next_delay_s())

    async def wait_until(self, condition: Callable[[ReplicationSession], bool]) -> None:
        """Wait until a session fulfils the condition.

        Raises:
            TimeoutError: No new record has arrived within the timeout, and the member has not asked to wait.
        """
        started_at = progress_at = time.monotonic()
        record_count = len(self.store)
        while not any(condition(session) for session in self._sessions):
            if time.monotonic() >= self._deadline(started_at, progress_at):
                raise TimeoutError("; ".join(dict.fromkeys(filter(None, self._failures))))
            await asyncio.sleep(PROGRESS_POLL_INTERVAL_S)
            if len(self.store) != record_count:
                progress_at = time.monotonic()
                record_count = len(self.store)

    def _deadline(self, started_at: float, progress_at: float) -> float:
        deadline = progress_at + self._timeout_s
        if self._asked_to_wait_at is None:
            return deadline
        wait_until = self._asked_to_wait_at + self._timeout_s
        return max(deadline, min(wait_until, started_at + MAX_CATCH_UP_WAIT_S))

    async def disconnect(self) -> None:
        """Close the session, and wait up to ``CLOSE_TIMEOUT_S`` until the close message is sent."""
        for session in self._sessions:
            session.close("done", CloseCode.ORDERLY)
        with suppress(TimeoutError):
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                while self._replica.sessions:
                    await asyncio.sleep(PROGRESS_POLL_INTERVAL_S)

    def close(self) -> None:
        """Detach the replica from its store."""
        self._replica.close()


def _has_exchanged_all(session: ReplicationSession) -> bool:
    return session.is_caught_up and session.change_exchange.is_delivered


def _seeded_random() -> Random:
    return Random(secrets.token_bytes(8))
