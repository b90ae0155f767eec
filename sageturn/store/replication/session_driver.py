"""The driver of a replication session, which connects it to its authenticated channel and the clock."""

from __future__ import annotations

import asyncio
import logging
import time
from contextlib import suppress

from sageturn.core.tasks import cancel_and_wait
from sageturn.store.channel import AuthenticatedChannel
from sageturn.store.errors import HandshakeRejectedError, SessionRejectedError
from sageturn.store.replication.close_code import CloseCode
from sageturn.store.replication.keep_alive import PEER_TIMEOUT_S
from sageturn.store.replication.session import ReplicationSession

log = logging.getLogger(__name__)

CLOSE_TIMEOUT_S = 0.5  # time limit for sending the bye


class SessionDriver:
    """Driver that sends a session's payloads, passes it those received, and logs why it ended."""

    def __init__(
        self, channel: AuthenticatedChannel, session: ReplicationSession, output_pending: asyncio.Event
    ) -> None:
        """``output_pending`` is set by the owner whenever the session may have something new to send."""
        self._channel = channel
        self._session = session
        self._output_pending = output_pending

    async def run(self) -> None:
        """Run the session until either side has ended it.

        An OSError, of the network or of the disk, ends the session; any other exception is raised.
        """
        sender = asyncio.ensure_future(self._send())
        receiver = asyncio.ensure_future(self._receive())
        try:
            done, _ = await asyncio.wait((sender, receiver), return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                self._handle_failure(task.exception())
            self._log_end()
        finally:
            await cancel_and_wait(sender)
            await cancel_and_wait(receiver)

    def _handle_failure(self, failure: BaseException | None) -> None:
        if failure is None:
            return
        if not isinstance(failure, OSError):
            raise failure
        self._session.closing.on_disconnected(str(failure) or "it reads nothing")

    def _log_end(self) -> None:
        closing = self._session.closing
        is_local = bool(closing.detail)
        code = closing.code if is_local else closing.peer_code
        log.log(
            logging.INFO if code == CloseCode.ORDERLY else logging.WARNING,
            "replication link closed peer=%s closed_by=%s code=%s detail=%s",
            self._session.peer,
            "self" if is_local else "peer",
            code or "none",
            closing.detail or closing.peer_detail,
        )

    async def _send(self) -> None:
        session = self._session
        while True:
            self._output_pending.clear()
            now = time.monotonic()
            payload = session.next_payload(now)
            if payload is None:
                if session.closing.peer_detail:
                    return
                await self._wait_for_output(session.wake_at(now) - now)
            elif session.closing.is_bye_sent:
                with suppress(TimeoutError):
                    async with asyncio.timeout(CLOSE_TIMEOUT_S):
                        await self._channel.send(payload)
                return
            else:
                # A peer that reads nothing counts as disconnected, like one that sends nothing.
                async with asyncio.timeout(PEER_TIMEOUT_S):
                    await self._channel.send(payload)

    async def _wait_for_output(self, timeout_s: float) -> None:
        with suppress(TimeoutError):
            async with asyncio.timeout(max(0.0, timeout_s)):
                await self._output_pending.wait()

    async def _receive(self) -> None:
        session = self._session
        while not session.closing.peer_detail:
            try:
                payload = await self._channel.receive()
                if not session.closing.detail:
                    session.receive(payload, time.monotonic())
            except (SessionRejectedError, HandshakeRejectedError) as error:
                session.close(str(error), session.closing.code)
                await asyncio.sleep(CLOSE_TIMEOUT_S)  # the sender task sends the bye in the meantime
                return
            self._output_pending.set()
