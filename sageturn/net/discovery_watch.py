"""A watch on discovery's endpoint list: an HTTP call whose response is streamed until the connection ends.

The end of a watch is always a failure. It is classified by what it cost discovery, so that the backoff can
distinguish an overloaded discovery from one that is down.
"""

from __future__ import annotations

import asyncio
import json
import logging
import socket
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import NoReturn

import httptools

from sageturn.core.messages import EndpointListUpdate, WatchFailed
from sageturn.decision import DiscoveryFailure
from sageturn.decision.discovery_backoff import (
    CONNECT_TIMEOUT_MS,
    IDLE_TIMEOUT_MS,
    RESPONSE_TIMEOUT_MS,
    classify_rejection,
)
from sageturn.net.addresses import Address
from sageturn.net.connecting import ConnectFailure, connect
from sageturn.net.endpoint_list import parse_endpoint_list
from sageturn.net.errors import WatchClosedError
from sageturn.net.json_stream import JsonObjectSplitter

log = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = CONNECT_TIMEOUT_MS / 1000.0
RESPONSE_TIMEOUT_S = RESPONSE_TIMEOUT_MS / 1000.0
IDLE_TIMEOUT_S = IDLE_TIMEOUT_MS / 1000.0
MAX_OBJECT_BYTES = 4 << 20
READ_BUFFER_BYTES = 65536
HTTP_OK = 200


class WatchResponse:
    """Parsed part of a response; httptools calls the ``on_...`` methods as bytes arrive."""

    def __init__(self) -> None:
        self.has_headers = False
        self.is_complete = False
        self.objects: list[bytes] = []  # complete objects that are not decoded yet
        # True if the current read completed an object, or ended outside of one. Bytes inside an incomplete
        # object, white space included, do not count.
        self.has_activity = False
        self._splitter = JsonObjectSplitter(MAX_OBJECT_BYTES)

    def on_headers_complete(self) -> None:
        """Record that the status and the headers have arrived."""
        self.has_headers = True

    def on_body(self, body: bytes) -> None:
        """Collect the objects that ``body`` completes.

        Raises:
            InvalidJsonStreamError: ``body`` is not part of a stream of objects. The objects before the
                error are collected.
        """
        for text in self._splitter.feed(body):
            self.objects.append(text)
            self.has_activity = True
        self.has_activity = self.has_activity or not self._splitter.is_inside_object

    def on_message_complete(self) -> None:
        """Record that the response is complete, and therefore no watch."""
        self.is_complete = True


class DiscoveryWatch:
    """One call to discovery, whose response is read until the connection ends."""

    def __init__(
        self,
        address: Address,
        after_version: int,
        on_update: Callable[[EndpointListUpdate], Awaitable[None]],
        clock: Callable[[], float],
    ) -> None:
        """Prepare the call.

        Args:
            address: Address of discovery.
            after_version: Version of the list that the relay has.
            on_update: Called with each update, in order.
            clock: Clock in seconds, which measures how long a failed call had waited.
        """
        self._address = address
        self._after_version = after_version
        self._on_update = on_update
        self._clock = clock
        self._response = WatchResponse()
        self._parser = httptools.HttpResponseParser(self._response)
        self._is_status_ok = False  # True if the response's status is HTTP_OK
        self._is_established = False  # True once an update has been reported
        self._request_sent_at_s = 0.0  # time on the event loop's clock
        self._last_activity_at_s = 0.0  # time on the event loop's clock

    async def run(self) -> WatchFailed:
        """Make the call, report its updates, and return how it failed. Only a programming error raises."""
        sock = await connect(self._address, CONNECT_TIMEOUT_S)
        if isinstance(sock, ConnectFailure):
            return WatchFailed(f"connect: {sock.name.lower()}", DiscoveryFailure.UNREACHED)
        connected_at_s = self._clock()
        try:
            await self._stream_updates(sock)
        except TimeoutError:
            is_idle_timeout = self._is_established
            return WatchFailed(
                "silent", DiscoveryFailure.SILENT if is_idle_timeout else DiscoveryFailure.UNANSWERED
            )
        except (OSError, ValueError, RecursionError, httptools.HttpParserError) as error:
            return self._classify(error, connected_at_s)
        finally:
            sock.close()

    def _classify(self, error: Exception, connected_at_s: float) -> WatchFailed:
        reason = f"{type(error).__name__}: {error.__context__ or error}"
        if self._is_established and not self._response.is_complete:  # a complete response is no watch
            return WatchFailed(reason, DiscoveryFailure.LOST)
        if self._is_status_ok or not isinstance(error, OSError):
            return WatchFailed(reason, DiscoveryFailure.UNUSABLE)
        waited_s = self._clock() - connected_at_s
        return WatchFailed(f"{reason} after {waited_s:.3f} s", classify_rejection(waited_s * 1000.0))

    async def _stream_updates(self, sock: socket.socket) -> NoReturn:
        """Send the request, and report updates until the response ends or is not usable.

        Raises:
            TimeoutError: discovery does not respond, or an established watch is idle for too long.
            WatchClosedError: discovery has ended the watch, or its response is no watch.
            OSError: the connection failed.
            ValueError: an object cannot be decoded.
            RecursionError: an object is nested too deeply.
            httptools.HttpParserError: the response is not valid HTTP.
        """
        loop = asyncio.get_running_loop()
        self._request_sent_at_s = loop.time()
        deadline_s = self._request_sent_at_s + RESPONSE_TIMEOUT_S
        async with asyncio.timeout_at(deadline_s):
            await loop.sock_sendall(sock, self._encode_request())
        buffer = bytearray(READ_BUFFER_BYTES)
        view = memoryview(buffer)
        while True:
            async with asyncio.timeout_at(deadline_s):
                size = await loop.sock_recv_into(sock, buffer)
            if not size:
                raise WatchClosedError("discovery closed the connection")
            await self._on_data(view[:size])
            if self._is_established and self._response.has_activity:
                self._last_activity_at_s = loop.time()
                deadline_s = self._last_activity_at_s + IDLE_TIMEOUT_S
            self._response.has_activity = False
            if self._response.is_complete:
                raise WatchClosedError("discovery completed the response instead of streaming updates")

    def _encode_request(self) -> bytes:
        host, port = self._address
        path = f"/v1/endpoints?stream=1&index={self._after_version}"
        return f"GET {path} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode()

    async def _on_data(self, data: memoryview) -> None:
        parser_error: httptools.HttpParserError | None = None
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            parser_error = error  # the objects that were complete before it are still reported
        if self._response.has_headers:
            status = self._parser.get_status_code()
            self._is_status_ok = status == HTTP_OK
            if not self._is_status_ok:
                raise WatchClosedError(f"discovery responded with status {status}")
        for text in self._response.objects:
            await self._report_update(parse_endpoint_list(json.loads(text)))
        self._response.objects.clear()
        if parser_error is not None:
            raise parser_error

    async def _report_update(self, update: EndpointListUpdate) -> None:
        now_s = asyncio.get_running_loop().time()
        if self._is_established:
            update = replace(update, confirmed_age_ms=(now_s - self._last_activity_at_s) * 1000.0)
        else:
            took_s = now_s - self._request_sent_at_s
            log.info("discovery watch established version=%d took_s=%.3f", update.version, took_s)
        await self._on_update(update)
        self._is_established = True
