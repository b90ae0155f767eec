"""One watch on discovery's endpoint list: an HTTP call whose response lasts until the connection ends.

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
    """The parsed part of a response; httptools calls the ``on_...`` methods as bytes arrive."""

    def __init__(self) -> None:
        self.has_headers = False
        self.is_complete = False
        self.objects: list[bytes] = []  # complete, not yet decoded
        # Whether an object was completed, or white space between two objects was read. Half an object, or
        # white space inside one, does not count.
        self.is_alive = False
        self._splitter = JsonObjectSplitter(MAX_OBJECT_BYTES)

    def on_headers_complete(self) -> None:
        """Note that the status is known."""
        self.has_headers = True

    def on_body(self, body: bytes) -> None:
        """Collect the objects that ``body`` completes.

        Raises:
            InvalidJsonStreamError: ``body`` is not part of a stream of objects; objects before it are kept.
        """
        for text in self._splitter.feed(body):
            self.objects.append(text)
            self.is_alive = True
        self.is_alive = self.is_alive or not self._splitter.is_inside_object

    def on_message_complete(self) -> None:
        """Note that the response has ended: it was not a watch."""
        self.is_complete = True


class DiscoveryWatch:
    """Makes one call to discovery, and follows its response until the connection ends."""

    def __init__(
        self,
        address: Address,
        after_version: int,
        on_update: Callable[[EndpointListUpdate], Awaitable[None]],
        clock: Callable[[], float],
    ) -> None:
        """Prepare the call.

        Args:
            address: of discovery.
            after_version: the version of the list that the relay has.
            on_update: called with each update, in order.
            clock: measures how long a failed call had waited, in seconds.
        """
        self._address = address
        self._after_version = after_version
        self._on_update = on_update
        self._clock = clock
        self._response = WatchResponse()
        self._parser = httptools.HttpResponseParser(self._response)
        self._is_accepted = False  # the response's status is HTTP_OK
        self._is_established = False  # an update has been reported
        self._called_at_s = 0.0  # by the event loop's clock
        self._alive_at_s = 0.0  # the last sign of life, by the event loop's clock

    async def run(self) -> WatchFailed:
        """Make the call and report its updates; returns how it failed. Only a program fault raises."""
        sock = await connect(self._address, CONNECT_TIMEOUT_S)
        if isinstance(sock, ConnectFailure):
            return WatchFailed(f"connect: {sock.name.lower()}", DiscoveryFailure.UNREACHED)
        called_at_s = self._clock()
        try:
            await self._follow(sock)
        except TimeoutError:
            is_silent = self._is_established
            return WatchFailed(
                "silent", DiscoveryFailure.SILENT if is_silent else DiscoveryFailure.UNANSWERED
            )
        except (OSError, ValueError, RecursionError, httptools.HttpParserError) as error:
            return self._classify(error, called_at_s)
        finally:
            sock.close()

    def _classify(self, error: Exception, called_at_s: float) -> WatchFailed:
        reason = f"{type(error).__name__}: {error.__context__ or error}"
        if self._is_established and not self._response.is_complete:  # a complete response was not a watch
            return WatchFailed(reason, DiscoveryFailure.LOST)
        if self._is_accepted or not isinstance(error, OSError):
            return WatchFailed(reason, DiscoveryFailure.UNUSABLE)
        waited_s = self._clock() - called_at_s
        return WatchFailed(f"{reason} after {waited_s:.3f} s", classify_rejection(waited_s * 1000.0))

    async def _follow(self, sock: socket.socket) -> NoReturn:
        """Send the request, and report updates until the response ends or is not usable.

        Raises:
            TimeoutError: discovery does not respond, or is silent for too long.
            WatchClosedError: discovery has ended the watch, or responded with no watch.
            OSError: the connection failed.
            ValueError: an object cannot be decoded.
            RecursionError: an object is nested too deeply.
            httptools.HttpParserError: the response is not valid HTTP.
        """
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(sock, self._encode_request())
        buffer = bytearray(READ_BUFFER_BYTES)
        view = memoryview(buffer)
        self._called_at_s = loop.time()
        deadline_s = self._called_at_s + RESPONSE_TIMEOUT_S
        while True:
            async with asyncio.timeout_at(deadline_s):
                size = await loop.sock_recv_into(sock, buffer)
            if not size:
                raise WatchClosedError("ended")
            await self._on_data(view[:size])
            if self._is_established and self._response.is_alive:
                self._alive_at_s = loop.time()
                deadline_s = self._alive_at_s + IDLE_TIMEOUT_S
            self._response.is_alive = False
            if self._response.is_complete:
                raise WatchClosedError("the response was complete")

    def _encode_request(self) -> bytes:
        host, port = self._address
        path = f"/v1/endpoints?stream=1&index={self._after_version}"
        return f"GET {path} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode()

    async def _on_data(self, data: memoryview) -> None:
        parser_error: httptools.HttpParserError | None = None
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            parser_error = error  # objects that were complete before it are reported all the same
        if self._response.has_headers:
            status = self._parser.get_status_code()
            self._is_accepted = status == HTTP_OK
            if not self._is_accepted:
                raise WatchClosedError(f"status {status}")
        for text in self._response.objects:
            await self._report(parse_endpoint_list(json.loads(text)))
        self._response.objects.clear()
        if parser_error is not None:
            raise parser_error

    async def _report(self, update: EndpointListUpdate) -> None:
        now_s = asyncio.get_running_loop().time()
        if self._is_established:
            update = replace(update, confirmed_age_ms=(now_s - self._alive_at_s) * 1000.0)
        else:
            took_s = now_s - self._called_at_s
            log.info("discovery watch established version=%d took_s=%.3f", update.version, took_s)
        await self._on_update(update)
        self._is_established = True
