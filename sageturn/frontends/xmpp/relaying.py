"""Relays an established session: forwards stanzas both ways, and closes both streams when either closes."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Iterable
from contextlib import suppress
from dataclasses import dataclass

from sageturn.core.close_reason import CloseReason
from sageturn.core.idle_timeout import IdleTimeout
from sageturn.core.request_lifecycle import RequestLifecycle
from sageturn.core.tasks import cancel_and_wait, sleep_until_elapsed
from sageturn.frontends.xmpp.errors import (
    CLOSE_REASONS_AFTER_BIND,
    StreamError,
    encode_move,
    encode_stream_error,
    stream_error_condition,
)
from sageturn.frontends.xmpp.namespaces import RELAY_NS, STREAMS_NS
from sageturn.frontends.xmpp.protocol import IqType, StreamCondition
from sageturn.frontends.xmpp.session import XmppSession
from sageturn.frontends.xmpp.stream_parser import Stanza, StreamClosed
from sageturn.net.closing import close_gracefully, close_with_reset
from sageturn.net.source_end import SourceEndedError, SourceEndLimit

STANZA_BOUNDARY_TIMEOUT_S = 0.7  # limit before a migration for the endpoint to complete a stanza
STANZA_BOUNDARY_POLL_INTERVAL_S = 0.01
MIN_WRITE_LOCK_TIMEOUT_S = 0.05
CLOSE_TIMEOUT_S = 0.5  # limit for reading one side after the other has closed, and for closing both streams


@dataclass(frozen=True, slots=True)
class StreamEnd:
    """Reason for which forwarding has ended, and the encoded stream error to send to the client, if any."""

    close_reason: CloseReason
    error: bytes = b""


ForwardingTask = asyncio.Task[StreamEnd]


class StanzaRelay:
    """Relay of stanzas between a client and its endpoint, which can migrate the client."""

    def __init__(
        self,
        client: XmppSession,
        endpoint: XmppSession,
        lifecycle: RequestLifecycle,
        idle_timeout: IdleTimeout,
        early_stanzas: Iterable[Stanza],
    ) -> None:
        """Prepare to relay between two established sessions.

        Args:
            client: the client's session, which ``run`` closes.
            endpoint: the endpoint's session, which ``run`` closes.
            lifecycle: the request's lifecycle, to which load values and totals are reported.
            idle_timeout: the idle timeout of the endpoint.
            early_stanzas: the stanzas that were received from the client before, which are forwarded first.
        """
        self._client = client
        self._endpoint = endpoint
        self._lifecycle = lifecycle
        self._idle_timeout = idle_timeout
        self._early_stanzas = deque(early_stanzas)
        self._client_write_lock = asyncio.Lock()
        self._client_end_limit = SourceEndLimit(client.channel.sock, CLOSE_TIMEOUT_S)

    async def run(self, drain_requested: asyncio.Event) -> CloseReason:
        """Forward until either side closes, ``drain_requested`` is set or the endpoint times out.

        Close both sessions, and return why the session was closed.
        """
        downstream = asyncio.ensure_future(self._forward_to_client())
        upstream = asyncio.ensure_future(self._forward_to_endpoint())
        drain_waiter = asyncio.ensure_future(drain_requested.wait())
        idle = asyncio.ensure_future(sleep_until_elapsed(self._idle_timeout.remaining_s))
        try:
            await asyncio.wait(
                (downstream, upstream, drain_waiter, idle), return_when=asyncio.FIRST_COMPLETED
            )
            migration_reason = CloseReason.MOVED if drain_waiter.done() else CloseReason.MUTE
            end = await self._finish_forwarding(downstream, upstream, migration_reason)
        finally:
            for task in (downstream, upstream, drain_waiter, idle):
                await cancel_and_wait(task)
            self._record_totals()
            self._early_stanzas.clear()
            self._client.release()
            self._endpoint.release()
        await self._close(end)
        return end.close_reason

    async def _finish_forwarding(
        self, downstream: ForwardingTask, upstream: ForwardingTask, migration_reason: CloseReason
    ) -> StreamEnd:
        if downstream.done():
            return downstream.result()
        if upstream.done():
            end = upstream.result()
            if end.close_reason is CloseReason.CLIENT_LEFT:
                await self._endpoint.close()
                await asyncio.wait((downstream,), timeout=CLOSE_TIMEOUT_S)
            return end
        if not await self._reach_stanza_boundary(downstream):
            # A stanza has been written in part, so no stream error can follow it.
            close_with_reset(self._client.channel.sock)
        return StreamEnd(migration_reason, encode_move())

    def _record_totals(self) -> None:
        record = self._lifecycle.record
        record.bytes_to_endpoint = self._endpoint.sent_bytes
        record.bytes_to_client = self._client.sent_bytes
        record.endpoint_idle_s = asyncio.get_running_loop().time() - self._idle_timeout.last_endpoint_data_s

    async def _reach_stanza_boundary(self, downstream: ForwardingTask) -> bool:
        """Wait for an incomplete stanza of the endpoint, and for a write to the client to end.

        Return False if the write does not end in time, so that a stanza is written in part.
        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + STANZA_BOUNDARY_TIMEOUT_S
        while self._endpoint.parser.is_mid_stanza and not downstream.done() and loop.time() < deadline_s:
            await asyncio.sleep(STANZA_BOUNDARY_POLL_INTERVAL_S)
        # The lock is not released, so that no further stanza of the endpoint is forwarded.
        with suppress(TimeoutError):
            async with asyncio.timeout(max(MIN_WRITE_LOCK_TIMEOUT_S, deadline_s - loop.time())):
                return await self._client_write_lock.acquire()
        return False

    async def _close(self, end: StreamEnd) -> None:
        client = self._client.channel.sock
        endpoint = self._endpoint.channel.sock
        if end.close_reason is CloseReason.CLIENT_RESET:
            close_with_reset(endpoint)
            client.close()
            return
        if end.close_reason is CloseReason.RESET:
            close_with_reset(client)
            endpoint.close()
            return
        with suppress(TimeoutError):
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                await asyncio.gather(self._client.close(end.error), self._endpoint.close())
        await asyncio.gather(close_gracefully(client), close_gracefully(endpoint))

    async def _forward_to_client(self) -> StreamEnd:
        try:
            while True:
                if (end := await self._forward_event_to_client()) is not None:
                    return end
        except OSError:
            return StreamEnd(CloseReason.RESET)
        except StreamError:
            error = encode_stream_error(
                StreamCondition.REMOTE_CONNECTION_FAILED, "the endpoint's stream broke off"
            )
            return StreamEnd(CloseReason.GARBLED, error)

    async def _forward_event_to_client(self) -> StreamEnd | None:
        """Forward the endpoint's next stanza; return the reason once forwarding has ended."""
        event = await self._endpoint.next_event()
        self._idle_timeout.on_endpoint_data(asyncio.get_running_loop().time())
        if event is None:
            return StreamEnd(CloseReason.ENDED, encode_stream_error(StreamCondition.REMOTE_CONNECTION_FAILED))
        if isinstance(event, StreamClosed):
            return StreamEnd(CloseReason.SERVED)
        if not isinstance(event, Stanza):
            return None
        if event.element.tag == f"{{{STREAMS_NS}}}error":
            condition = stream_error_condition(event.element)
            close_reason = CLOSE_REASONS_AFTER_BIND.get(condition, CloseReason.ERROR)
            return StreamEnd(close_reason, event.raw)
        await self._report_loads(event)
        async with self._client_write_lock:
            try:
                await self._client.send(event.raw)
            except OSError:
                return StreamEnd(CloseReason.CLIENT_RESET)
        return None

    async def _forward_to_endpoint(self) -> StreamEnd:
        try:
            while True:
                if (end := await self._forward_event_to_endpoint()) is not None:
                    return end
        except OSError:
            return StreamEnd(CloseReason.CLIENT_RESET)
        except StreamError as error:
            return StreamEnd(CloseReason.CLIENT_LEFT, encode_stream_error(error.condition, error.text))

    async def _forward_event_to_endpoint(self) -> StreamEnd | None:
        """Forward the client's next stanza; return the reason once forwarding has ended."""
        event = self._early_stanzas.popleft() if self._early_stanzas else await self._client.next_event()
        if event is None or isinstance(event, StreamClosed):
            return StreamEnd(CloseReason.CLIENT_LEFT)
        if not isinstance(event, Stanza):
            return None
        if _requires_response(event):
            self._idle_timeout.on_client_line_forwarded(asyncio.get_running_loop().time())
        try:
            await self._client_end_limit.complete(self._endpoint.send(event.raw))
        except SourceEndedError:
            return StreamEnd(CloseReason.CLIENT_RESET)
        except OSError:
            return StreamEnd(CloseReason.RESET)
        return None

    async def _report_loads(self, stanza: Stanza) -> None:
        for load in stanza.element.findall(f"{{{RELAY_NS}}}load"):
            try:
                value = float(load.text or "")
            except ValueError:
                continue
            await self._lifecycle.established.report_load(value)


def _requires_response(stanza: Stanza) -> bool:
    """Return whether the endpoint must respond to ``stanza``, which holds only for info/query requests."""
    element = stanza.element
    return element.tag.endswith("}iq") and element.get("type") in (IqType.GET, IqType.SET)
