"""The platform's front: lines of text over TCP."""

from __future__ import annotations

import asyncio
import logging
import re
import socket
from contextlib import suppress
from functools import partial

from sageturn.core.close_reason import CloseReason
from sageturn.core.context import RelayContext
from sageturn.core.idle_timeout import IdleTimeout
from sageturn.core.messages import FinalResponse
from sageturn.core.request_lifecycle import RequestLifecycle
from sageturn.core.tasks import cancel_and_wait, sleep_until_elapsed
from sageturn.decision.load_reports import TEXT_MOST, read_report
from sageturn.frontends.firstline import LINE_MOST, FirstLine, Malformed, parse_first_line
from sageturn.frontends.ids import RequestIds
from sageturn.frontends.pump import Broken, LinePump
from sageturn.net.admission import PendingConnection
from sageturn.net.sockets import (
    CLOSE_REASON_OF_CONNECT_FAILURE,
    LINGER_S,
    ConnectFailure,
    close_gracefully,
    close_with_reset,
    connect_unreserved,
    send_and_close,
    send_gathered,
    shutdown_write,
    wait_for_close_reason,
)

log = logging.getLogger(__name__)

# From its acceptance until a client has asked, PING included. A usual one asks as it connects; all others
# are owed an answer within 3 s, and the time it takes them to be accepted counts.
FIRST_LINE_S = 2.0
# Clients send a line every 2 s, and one that brings nothing back for 7 s has to be moved by then. Both count
# from the endpoint's last word: the client's next line, up to 2 s later, must not begin the whole wait anew.
LINE_EVERY_S = 2.0
BACK_WITHIN_S = 7.0
MOVE_EARLY_S = 0.6  # MOVE has to be put in and to travel, on a core that others may hold for a while
MUTE_S = BACK_WITHIN_S - LINE_EVERY_S - MOVE_EARLY_S  # how long a line may be left unanswered
LAST_LINE_MOST = TEXT_MOST + 16  # a word and a load report
LAST_WORD_S = 0.5  # what an ended side may still have coming from the other
MOVE_S = 0.4  # a stop leaves HURRY_S of core/drain.py for it, and a line may be held back for a second


class PlatformFrontend:
    rejection = b"BUSY 500\r\n"

    def __init__(self, shared: RelayContext) -> None:
        self._shared = shared
        self._classes = frozenset(c.name for c in shared.balancer_actor.settings.classes)
        self._ids = RequestIds()

    async def serve(self, sock: socket.socket, pending: PendingConnection) -> None:
        buffer = bytearray(LINE_MOST)
        try:
            async with pending.time_limit(FIRST_LINE_S):
                line = await self._first_line(sock, buffer)
        except TimeoutError:
            # Its line may have become whole in this very instant: taken it has been, so it is answered.
            if pending.evicted:
                send_and_close(sock, self.rejection)  # its descriptor is wanted
            else:
                with suppress(OSError):
                    sock.send(b"ERR no first line in time\r\n")
                await close_gracefully(sock)
            return
        except Malformed as error:
            log.info("first line: %s", error)
            with suppress(TimeoutError):
                async with pending.time_limit(FIRST_LINE_S + LINGER_S):
                    await asyncio.get_running_loop().sock_sendall(sock, f"ERR {error}\r\n".encode())
                    await close_gracefully(sock)
            return
        if line is None:
            return  # it went as it came
        pending.mark_active()
        try:
            await self._shared.run(_Peer(self._shared, sock, buffer, line).lifecycle)
        finally:
            self._ids.end(line.request_id)

    async def _first_line(self, sock: socket.socket, buffer: bytearray) -> FirstLine | None:
        """The line by which a client asks, after any number of PINGs; None if it left without a word."""
        while True:
            end, filled = await _read_line(sock, buffer)
            if not end:
                if filled:
                    raise Malformed("no first line")
                return None
            if filled > end:
                raise Malformed("more than one line")  # a client waits for its answer before it says more
            if buffer[:end] != b"PING\r\n":
                break
            if self._shared.request_registry.stopping:
                raise Malformed("stopping")
            await self._shared.endpoint_registry.usable.wait()
            await asyncio.get_running_loop().sock_sendall(sock, b"PONG\r\n")
        line = parse_first_line(buffer, end, self._classes)
        if not self._ids.take(line.request_id):
            raise Malformed("the id is in use")
        return line


async def _read_line(sock: socket.socket, buffer: bytearray) -> tuple[int, int]:
    """Where the first line ends, and how much was read; 0 when none came, or it is too long."""
    loop = asyncio.get_running_loop()
    filled = 0
    while filled < len(buffer):
        size = await loop.sock_recv_into(sock, memoryview(buffer)[filled:])
        if not size:
            return 0, filled
        end = buffer.find(b"\n", filled, filled + size) + 1
        filled += size
        if end:
            return end, filled
    return 0, filled


class _Peer:
    """One client, and its endpoint once it has one: the ``Wire`` of its request."""

    def __init__(self, shared: RelayContext, sock: socket.socket, buffer: bytearray, line: FirstLine) -> None:
        self._shared, self._client, self._buffer, self._line = shared, sock, buffer, line
        self._ahead = b""  # what the client sent before it was answered
        self._endpoint: socket.socket | None = None
        self._answer = b""  # the endpoint's first line, and what followed it
        self._last_line = b""
        self.lifecycle = RequestLifecycle(shared.balancer_actor, self, line.ask)
        self.lifecycle.record.client = sock.getpeername()
        self._loads: asyncio.Queue[float] = asyncio.Queue(16)

    # ------------------------------------------------------------ one outbound call

    async def open_upstream(self, endpoint: str, patience_ms: float, connect_ms: float) -> CloseReason | None:
        loop = asyncio.get_running_loop()
        until = loop.time() + patience_ms / 1000.0
        address = self._shared.endpoint_registry.addresses.get(endpoint)
        if address is None:
            return CloseReason.NOT_SENT
        # What stood there before this relay did goes back there, also while that endpoint drains.
        wanted = None
        if not self._line.ask.established_endpoint:
            wanted = partial(self._shared.endpoint_registry.ready, endpoint, address)
        if (held_back := self.lifecycle.blocking_reason(wanted)) is not None:
            return held_back
        sock = await connect_unreserved(address, connect_ms / 1000.0)
        if isinstance(sock, ConnectFailure):
            return CLOSE_REASON_OF_CONNECT_FAILURE[sock]
        if (held_back := self.lifecycle.check_before_write(wanted)) is not None:
            sock.close()
            return held_back
        stands = False
        try:
            try:
                async with asyncio.timeout_at(until):
                    close_reason = await self._ask(sock, until)
            except TimeoutError:
                return CloseReason.TIMEOUT
            stands = close_reason is None
            return close_reason
        finally:
            if stands:
                self._endpoint = sock
                self.lifecycle.record.endpoint_address = address
            else:
                sock.close()

    async def _ask(self, sock: socket.socket, until: float) -> CloseReason | None:
        loop = asyncio.get_running_loop()
        line, view = self._line, memoryview(self._buffer)
        wait = b"%d" % max(1, int((until - loop.time()) * 1000.0))
        try:
            async with asyncio.timeout_at(
                min(until, loop.time() + self.lifecycle.key_remaining_ms() / 1000.0)
            ):
                await send_gathered(sock, (view[: line.wait_from], wait, view[line.wait_to : line.end]))
        except TimeoutError:
            raise  # its last byte may have been taken in this very instant
        except OSError:
            return CloseReason.CUT_BEFORE_WRITTEN
        answer = bytearray(LINE_MOST)
        try:
            end, filled = await _read_line(sock, answer)
        except OSError:
            return CloseReason.RESET
        if not end:
            return CloseReason.GARBLED if filled == len(answer) else CloseReason.ENDED
        if _UP.fullmatch(answer, 0, end):
            self._answer = bytes(answer[:filled])
            return None
        if not _WORD.fullmatch(answer, 0, filled):
            return CloseReason.GARBLED  # spoilt, or more came after it: no proof of anything
        return self._ending_of(bytes(answer[:end]), _FIRST_WORDS, CloseReason.GARBLED)

    def _ending_of(self, line: bytes, words: dict[bytes, CloseReason], other: CloseReason) -> CloseReason:
        """What a word that ends a call or a connection means; a load report may follow it."""
        word, *rest = line.split(None, 1) or [b""]
        if word in words and rest and self._shared.balancer_actor.settings.reports == "answers":
            fields = self._shared.balancer_actor.settings.report_fields
            self.lifecycle.record.report = read_report(rest[0], fields, self._shared.dropped)
        return words.get(word, other)

    async def wait_client_disconnect(self) -> CloseReason:
        return await wait_for_close_reason(self._client, self.poll_client)

    def poll_client(self) -> CloseReason | None:
        while len(self._ahead) < LINE_MOST:
            try:
                more = self._client.recv(1024)
            except BlockingIOError:
                return None
            except OSError:
                return CloseReason.CLIENT_RESET
            if not more:
                return CloseReason.CLIENT_LEFT
            self._ahead += more
        return CloseReason.CLIENT_FAULT

    async def send_final_response(self, answer: FinalResponse) -> None:
        if not answer.refused:
            text = f"ERR {answer.why}\r\n".encode()
        elif answer.retry_after_ms >= 1:
            text = b"BUSY %d\r\n" % round(answer.retry_after_ms)
        else:
            text = b"BUSY\r\n"
        try:
            await asyncio.get_running_loop().sock_sendall(self._client, text)
        except OSError:
            return  # the client is gone; there is nobody to answer
        await close_gracefully(self._client)

    # ------------------------------------------------------------ while it stands

    async def close_upstream(self) -> None:
        if self._endpoint is not None:
            close_with_reset(self._endpoint)

    async def accept_client(self) -> None:
        """The endpoint's UP goes out with all that followed it, as the first lines of the pump."""

    async def relay_traffic(self, stop: asyncio.Event) -> CloseReason:
        endpoint = self._endpoint
        assert endpoint is not None
        down = LinePump(endpoint, self._client, self._from_endpoint, self._answer)
        up = LinePump(self._client, endpoint, self._from_client, self._ahead)
        self._buffer, self._answer, self._ahead = bytearray(), b"", b""
        self._quiet = IdleTimeout(asyncio.get_running_loop().time(), MUTE_S, LINE_EVERY_S)
        downward, upward = asyncio.ensure_future(down.run()), asyncio.ensure_future(up.run())
        stopping = asyncio.ensure_future(stop.wait())
        muting = asyncio.ensure_future(sleep_until_elapsed(self._quiet.left_s))
        noting = asyncio.ensure_future(self._pass_loads())
        try:
            await asyncio.wait((downward, upward, stopping, muting), return_when=asyncio.FIRST_COMPLETED)
            moved = CloseReason.MOVED if stopping.done() else CloseReason.MUTE
            if not downward.done() and not upward.done() and await self._moved(down, downward, upward, moved):
                return moved
            if downward.done():
                return await self._endpoint_ended(downward, upward)
            if upward.done():
                return await self._client_ended(upward, downward)
            return CloseReason.CUT_OFF
        finally:
            for task in (downward, upward, stopping, muting, noting):
                await cancel_and_wait(task)
            self.lifecycle.record.bytes_to_client, self.lifecycle.record.bytes_to_endpoint = (
                down.passed,
                up.passed,
            )
            self.lifecycle.record.quiet_s = asyncio.get_running_loop().time() - self._quiet.heard_s
            await asyncio.gather(close_gracefully(self._client), close_gracefully(endpoint))

    async def _moved(
        self, down: LinePump, downward: asyncio.Task[None], upward: asyncio.Task[None], why: CloseReason
    ) -> bool:
        """Tell the client MOVE. One that reads nothing just now is let be until it does, or is itself over,
        unless there is no more time: its endpoint is mute, or the stop of the relay has come to its end.
        """
        putting = asyncio.ensure_future(down.put_last(b"MOVE\r\n"))
        over = asyncio.ensure_future(self.lifecycle.over.wait())
        ends = putting, downward, upward
        try:
            if why is CloseReason.MOVED:
                await asyncio.wait((*ends, over), return_when=asyncio.FIRST_COMPLETED)
            if not any(task.done() for task in ends):
                await asyncio.wait(ends, timeout=MOVE_S, return_when=asyncio.FIRST_COMPLETED)
        finally:
            await cancel_and_wait(over)
            await cancel_and_wait(putting)
        return not putting.cancelled() and putting.result()

    async def _endpoint_ended(self, downward: asyncio.Task[None], upward: asyncio.Task[None]) -> CloseReason:
        assert self._endpoint is not None
        error = downward.exception()
        if isinstance(error, Broken):
            if error.source:
                close_with_reset(self._client)
                return CloseReason.RESET
            close_with_reset(self._endpoint)
            return CloseReason.CLIENT_RESET
        shutdown_write(self._client)
        await asyncio.wait((upward,), timeout=LAST_WORD_S)
        return self._ending_of(self._last_line, _LAST_WORDS, CloseReason.ENDED)

    async def _client_ended(self, upward: asyncio.Task[None], downward: asyncio.Task[None]) -> CloseReason:
        assert self._endpoint is not None
        error = upward.exception()
        if isinstance(error, Broken):
            if error.source:
                close_with_reset(self._endpoint)
                return CloseReason.CLIENT_RESET
            # Writing failed, so the endpoint has gone; what it said last may still lie unread.
            await asyncio.wait((downward,), timeout=LAST_WORD_S)
            if downward.done():
                return await self._endpoint_ended(downward, upward)
            close_with_reset(self._client)
            return CloseReason.RESET
        shutdown_write(self._endpoint)
        await asyncio.wait((downward,), timeout=LAST_WORD_S)
        return CloseReason.CLIENT_LEFT

    def _from_endpoint(self, buffer: bytearray, whole: int) -> None:
        self._quiet.heard(asyncio.get_running_loop().time())
        at = 0
        while at < whole:
            end = buffer.index(b"\n", at) + 1
            if buffer.startswith(b"LOAD ", at):
                self._note_load(bytes(buffer[at + 5 : end]))
            at = end
        start = buffer.rfind(b"\n", 0, whole - 1) + 1
        self._last_line = bytes(buffer[start : min(whole, start + LAST_LINE_MOST)])

    def _from_client(self, buffer: bytearray, whole: int) -> None:
        self._quiet.asked(asyncio.get_running_loop().time())

    def _note_load(self, text: bytes) -> None:
        try:
            value = float(text)
        except ValueError:
            return
        if not self._loads.full():  # a newer load stands in for those that could not be told yet
            self._loads.put_nowait(value)

    async def _pass_loads(self) -> None:
        while True:
            await self.lifecycle.report_load(await self._loads.get())


# Strict: a client is served with nothing but what a live host made for it, and a spoilt line is not that.
_UP = re.compile(rb"UP [ -~]+\r\n")
_WORD = re.compile(rb"[A-Z]+( [ -~]*)?\r\n")
_FIRST_WORDS = {
    b"BUSY": CloseReason.BUSY,
    b"ERR": CloseReason.ERROR,
    b"BYE": CloseReason.SERVED,
    b"MOVE": CloseReason.SENT_AWAY,
}
_LAST_WORDS = {b"BYE": CloseReason.SERVED, b"MOVE": CloseReason.SENT_AWAY}
