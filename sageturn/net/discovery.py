"""Discovery's client: one watch at a time, read with httptools; every failure is told, none is fatal."""

from __future__ import annotations

import asyncio
import json
import logging
import math
import socket
import time
from collections.abc import Awaitable, Callable
from typing import Any, NoReturn

import httptools

from sageturn.core.messages import EndpointListUpdate, WatchFailed
from sageturn.core.tasks import cancel_and_wait
from sageturn.decision import DiscoveryFailure, Endpoint
from sageturn.decision.discovery_backoff import ANSWER_MS, CONNECT_MS, SILENCE_MS, unserved
from sageturn.net.json_stream import ObjectCutter
from sageturn.net.sockets import ConnectFailure, connect

log = logging.getLogger(__name__)

CONNECT_S = CONNECT_MS / 1000.0
ANSWER_S = ANSWER_MS / 1000.0
# Only what is whole is a sign of life: half an object, or white space inside of one, tells nothing.
SILENCE_S = SILENCE_MS / 1000.0
OBJECT_MOST = 4 << 20

# What a watch says, and which one it was.
Report = Callable[[int, EndpointListUpdate | WatchFailed], Awaitable[None]]


class InvalidEndpointListError(ValueError):
    """An object of discovery that cannot be read; the text names the key."""


def parse_address(value: str) -> tuple[str, int]:
    host, _, port = value.rpartition(":")
    if not host or not port.isdigit() or not 0 <= int(port) < 65536:
        raise ValueError(f"{value!r} is not HOST:PORT")
    return host, int(port)


def _text(line: dict[str, Any], key: str) -> str:
    value = line.get(key)
    if value is not None and not isinstance(value, str):
        raise InvalidEndpointListError(f"{key}: {value!r}")
    return value or ""


def _figure(line: dict[str, Any], key: str, usual: float) -> float:
    value = line.get(key)
    if value is None:
        return usual
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 <= value < math.inf:
        raise InvalidEndpointListError(f"{key}: {value!r}")
    return value or usual


def _is_address(host: str) -> bool:
    """There are no names to look up here: one would hold up whoever connects, or fail it."""
    try:
        socket.inet_pton(socket.AF_INET, host)
    except OSError:
        return False
    return True


def _entry(line: dict[str, Any]) -> Endpoint:
    state = line["state"]
    if not _text(line, "id"):
        raise InvalidEndpointListError(f"id: {line['id']!r}")
    if state not in ("ready", "draining", "gone"):
        raise InvalidEndpointListError(f"state: {state!r}")
    return Endpoint(
        name=line["id"],
        state=state,
        zone=_text(line, "zone"),
        cell=int(_figure(line, "cell", 0)),
        started_at_ms=_figure(line, "started_ms", 0.0),
        share=_figure(line, "weight", 1.0),
        kind=_text(line, "kind"),
    )


def parse_endpoint_list(obj: Any) -> EndpointListUpdate:
    """Read strictly and whole before anything of it is used: half a list believed, or a figure that is none
    and fails whoever reckons with it, would be worse than a failed call. The last word on an entry counts.
    """
    try:
        version, full = obj["version"], obj.get("full")
        if isinstance(version, bool) or not isinstance(version, int):
            raise InvalidEndpointListError(f"version: {version!r}")
        if full not in (None, True, False):
            raise InvalidEndpointListError(f"full: {full!r}")
        endpoints, addresses = {}, {}
        for line in obj["servers"]:
            endpoint = endpoints[line["id"]] = _entry(line)
            if address := _text(line, "addr"):
                host, port = addresses[endpoint.name] = parse_address(address)
                if not _is_address(host) or not port:
                    raise InvalidEndpointListError(f"addr: {address!r}")
        return EndpointListUpdate(version, bool(full), list(endpoints.values()), addresses)
    except KeyError as error:
        raise InvalidEndpointListError(f"missing {error}") from None
    except (TypeError, AttributeError, OverflowError) as error:
        raise InvalidEndpointListError(str(error)) from None


class _Answer:
    """What httptools calls back: collects the body, and cuts it into objects."""

    def __init__(self) -> None:
        self.headed = self.complete = False
        self.good = False  # its status is that of an answer
        self.listed = False  # an object has been told
        self.objects: list[bytes] = []
        self.alive = False  # something whole came, if only an empty line between two objects
        self._cutter = ObjectCutter(OBJECT_MOST)

    def on_headers_complete(self) -> None:
        self.headed = True

    def on_body(self, body: bytes) -> None:
        for text in self._cutter.feed(body):
            self.objects.append(text)
            self.alive = True
        self.alive = self.alive or not self._cutter.within

    def on_message_complete(self) -> None:
        self.complete = True


class DiscoveryClient:
    """Holds at most one watch open, and reports into the destination set's mailbox."""

    def __init__(
        self, address: tuple[str, int], report: Report, clock: Callable[[], float] = time.monotonic
    ) -> None:
        """``clock``: in seconds, for how long a call had waited when it failed."""
        self._address, self._report, self._clock = address, report, clock
        self._tasks: set[asyncio.Task[None]] = set()  # one watch, and those that are just letting go
        self._count = 0

    def start(self, after_version: int) -> int:
        self._count += 1
        for old in self._tasks:
            old.cancel()  # a watch asked for again takes the place of the one before
        task = asyncio.ensure_future(self._watch(self._count, after_version))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return self._count

    def move(self, address: tuple[str, int]) -> None:
        """Where to watch from now on; the watch that is open stays until the next ``start``."""
        self._address = address

    async def stop(self) -> None:
        for task in list(self._tasks):
            await cancel_and_wait(task)

    async def _watch(self, number: int, after_version: int) -> None:
        answer = _Answer()
        try:
            failed = await self._call(answer, number, after_version)
        except Exception as error:
            # Whatever it was, a watch that ended untold would leave the relay with an old list for good.
            log.exception("the watch failed")
            failed = WatchFailed(f"{type(error).__name__}: {error}", DiscoveryFailure.UNUSABLE)
        await self._report(number, failed)

    async def _call(self, answer: _Answer, number: int, after_version: int) -> WatchFailed:
        """One call to its end, which is always a failure."""
        sock = await connect(self._address, CONNECT_S)
        if isinstance(sock, ConnectFailure):
            return WatchFailed(f"connect: {sock.name.lower()}", DiscoveryFailure.UNREACHED)
        asked_s = self._clock()
        try:
            await self._follow(sock, answer, number, after_version)
        except TimeoutError:
            return WatchFailed(
                "silent", DiscoveryFailure.SILENT if answer.listed else DiscoveryFailure.UNANSWERED
            )
        except (OSError, ValueError, RecursionError, httptools.HttpParserError) as error:
            why = f"{type(error).__name__}: {error.__context__ or error}"
            if answer.listed and not answer.complete:  # one whose answer was complete never was a watch
                return WatchFailed(why, DiscoveryFailure.LOST)
            if answer.good or not isinstance(error, OSError):
                return WatchFailed(why, DiscoveryFailure.UNUSABLE)
            waited_s = self._clock() - asked_s
            return WatchFailed(f"{why} after {waited_s:.3f} s", unserved(waited_s * 1000.0))
        finally:
            sock.close()

    async def _follow(
        self, sock: socket.socket, answer: _Answer, number: int, after_version: int
    ) -> NoReturn:
        loop = asyncio.get_running_loop()
        host = f"{self._address[0]}:{self._address[1]}"
        call = f"GET /v1/endpoints?stream=1&index={after_version} HTTP/1.1\r\nHost: {host}\r\n\r\n"
        await loop.sock_sendall(sock, call.encode())
        parser = httptools.HttpResponseParser(answer)
        buffer = bytearray(65536)
        view = memoryview(buffer)
        asked_s = loop.time()
        until = asked_s + ANSWER_S
        while True:
            async with asyncio.timeout_at(until):
                size = await loop.sock_recv_into(sock, buffer)
            if not size:
                raise ConnectionError("ended")
            fault: httptools.HttpParserError | None = None
            try:
                parser.feed_data(view[:size])
            except httptools.HttpParserError as error:
                fault = error  # what came whole before it has been told all the same
            answer.good = answer.headed and parser.get_status_code() == 200
            if answer.headed and not answer.good:
                raise ConnectionError(f"answered {parser.get_status_code()}")
            for text in answer.objects:
                news = parse_endpoint_list(json.loads(text))
                if not answer.listed:
                    log.info("watch: version %d after %.3f s", news.version, loop.time() - asked_s)
                await self._report(number, news)
                answer.listed = True
            answer.objects.clear()
            if fault is not None:
                raise fault
            if answer.listed and answer.alive:
                until = loop.time() + SILENCE_S
            answer.alive = False
            if answer.complete:
                raise ConnectionError("the answer was complete")
