"""Dialing of the members that the topology selects, and scheduling of the replica's ticks."""

from __future__ import annotations

import asyncio
import logging
import socket
import time

from sageturn.core.tasks import cancel_and_wait, wait_for_event
from sageturn.net.connecting import ConnectFailure, connect
from sageturn.store.replication.errors import LinkNotEstablishedError
from sageturn.store.replication.link_runner import LinkRunner
from sageturn.store.replication.membership import Address
from sageturn.store.replication.replica import Replica, TickResult

log = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 1.0
FAILED_TICK_RETRY_S = 1.0


class LinkDialer:
    """Scheduler of the replica's ticks, which starts a task for each link that this side dials."""

    def __init__(self, replica: Replica, link_runner: LinkRunner, tick_due: asyncio.Event) -> None:
        """Create the dialer; ``tick_due`` is the event that the replica's callbacks set."""
        self._replica = replica
        self._link_runner = link_runner
        self._tick_due = tick_due
        self._dials: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Run until the task is cancelled; dials in progress continue until ``cancel_dials``."""
        while True:
            self._tick_due.clear()
            now = time.monotonic()
            result = self._tick(now)
            for address in result.addresses_to_dial:
                task = asyncio.ensure_future(self._dial(address))
                self._dials.add(task)
                task.add_done_callback(self._dials.discard)
            await wait_for_event(self._tick_due, max(0.0, result.next_tick_at - now))

    def _tick(self, now: float) -> TickResult:
        """Run one tick and return its result; retry a failed tick, for instance on a full disk, shortly."""
        try:
            return self._replica.tick(now)
        except Exception:
            node = self._replica.store.node
            log.exception("replica tick failed node=%s retry_s=%.1f", node, FAILED_TICK_RETRY_S)
            return TickResult((), now + FAILED_TICK_RETRY_S)

    async def cancel_dials(self) -> None:
        """Cancel the dials in progress, and end the links that this side has dialed."""
        for task in list(self._dials):
            await cancel_and_wait(task)

    async def _dial(self, address: Address) -> None:
        try:
            sock = await connect(address, CONNECT_TIMEOUT_S)
            if not isinstance(sock, ConnectFailure):
                await self._run_link(sock, address)
                return  # the replica was already notified of the link's end
        except LinkNotEstablishedError:
            pass  # already logged by the link runner
        except Exception:  # an unexpected error in one link must not end the others
            log.exception("replication link failed peer_address=%s:%d", *address)
        assert self._replica.topology is not None
        self._replica.topology.on_dial_failed(address, time.monotonic())
        self._tick_due.set()

    async def _run_link(self, sock: socket.socket, address: Address) -> None:
        try:
            await self._link_runner.run(sock, address)
        finally:
            sock.close()
