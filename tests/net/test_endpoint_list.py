"""Decoding of the endpoint list from a stream, and the handling of events of replaced watches."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from support.network_fakes import FakeDiscovery, running_server

from sageturn.core.endpoint_registry import EndpointRegistry
from sageturn.core.messages import DiscoveryAddressChanged, EndpointListUpdate, WatchFailed, WatchRequested
from sageturn.decision import DiscoveryFailure, EndpointListEvent
from sageturn.net import discovery_watch
from sageturn.net.discovery import DiscoveryClient
from sageturn.net.endpoint_list import parse_endpoint_list
from sageturn.net.errors import InvalidEndpointListError, InvalidJsonStreamError
from sageturn.net.json_stream import JsonObject, JsonObjectSplitter

TEXTS = st.text(st.sampled_from('ab{}[]"\\\n é'), max_size=8)
VALUES = st.recursive(
    TEXTS | st.integers(), lambda values: st.lists(values) | st.dictionaries(TEXTS, values), max_leaves=6
)
OBJECTS = st.dictionaries(TEXTS, VALUES, max_size=4)


@given(st.lists(st.tuples(OBJECTS, st.sampled_from([None, 1, 4])), max_size=5), st.data())
def test_objects_are_split_however_the_stream_is_cut_and_indented(
    objects: list[Any], data: st.DataObject
) -> None:
    # When each line was decoded as an object, an indented list made every watch fail.
    text = b"".join(
        b"\r\n" + json.dumps(value, indent=indent, ensure_ascii=False).encode() for value, indent in objects
    )
    cuts = sorted(data.draw(st.lists(st.integers(0, len(text)), max_size=12)))
    splitter = JsonObjectSplitter(1 << 20)
    found: list[bytes] = []
    for start, end in zip([0, *cuts], [*cuts, len(text)], strict=True):
        found += splitter.feed(text[start:end])
    assert [json.loads(found_text) for found_text in found] == [
        value for value, _ in objects
    ] and not splitter.is_inside_object


@pytest.mark.parametrize("text", [b"[", b"null", b"}", b'{"a":1},', b'"{}"', b"{" + b" " * 200])
def test_stream_of_anything_but_objects_is_refused(text: bytes) -> None:
    with pytest.raises(InvalidJsonStreamError):
        list(JsonObjectSplitter(100).feed(text))


def make_entry(**fields: object) -> JsonObject:
    return {"id": "a", "addr": "127.0.0.1:9", "state": "ready", **fields}


@pytest.mark.parametrize(
    ("key", "bad"),
    [
        ("started_ms", "soon"),
        ("started_ms", float("nan")),
        ("weight", []),
        ("weight", -1),
        ("zone", 3),
        ("kind", {}),
        ("cell", "x"),
        ("addr", 7),
        ("addr", "nowhere"),
        ("addr", "a.example:80"),
        ("addr", "127.0.0.1:0"),
        ("id", ""),
        ("id", 4),
        ("state", None),
    ],
)
def test_invalid_entry_is_refused_by_its_key_and_with_it_the_list(key: str, bad: object) -> None:
    # A start time that was a string was once accepted, and made the balancer fail in the middle of the list.
    with pytest.raises((InvalidEndpointListError, ValueError)) as found:
        parse_endpoint_list(
            {"version": 3, "full": True, "servers": [make_entry(id="b"), make_entry(**{key: bad})]}
        )
    assert key in str(found.value) or str(bad) in str(found.value)


@pytest.mark.parametrize("top", [{"version": "3"}, {"version": True}, {"full": "no"}, {"servers": None}])
def test_invalid_list_is_refused(top: JsonObject) -> None:
    with pytest.raises(InvalidEndpointListError):
        parse_endpoint_list({"version": 3, "full": True, "servers": [make_entry()], **top})


# ---------------------------------------------------------------- watches over loopback


def chunked_response(*pieces: bytes) -> bytes:
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    return head + b"".join(b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces)


async def collect_watch_events(
    *answers: bytes, count: int, monkeypatch: pytest.MonkeyPatch, timeout_s: float = 9.0
) -> list[Any]:
    """Return the first ``count`` events of one watch."""
    monkeypatch.setattr(discovery_watch, "RESPONSE_TIMEOUT_S", timeout_s)
    monkeypatch.setattr(discovery_watch, "IDLE_TIMEOUT_S", timeout_s)
    events: asyncio.Queue[Any] = asyncio.Queue()
    discovery = FakeDiscovery(*answers)
    async with running_server(discovery):
        client = DiscoveryClient(discovery.address, lambda _, event: events.put(event))
        client.start(0)
        try:
            return [await asyncio.wait_for(events.get(), 5) for _ in range(count)]
        finally:
            await client.stop()


async def test_indented_list_is_read_in_whatever_chunks_it_comes(monkeypatch: pytest.MonkeyPatch) -> None:
    text = json.dumps(
        {"version": 7, "full": True, "servers": [make_entry(), make_entry(id="b")]}, indent=2
    ).encode()
    pieces = [text[start : start + 7] for start in range(0, len(text), 7)]
    (update,) = await collect_watch_events(chunked_response(*pieces), count=1, monkeypatch=monkeypatch)
    assert update.version == 7 and [endpoint.name for endpoint in update.endpoints] == ["a", "b"]


async def test_objects_complete_before_an_error_are_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    # Discovery has sent them, so the relay must apply them, whatever follows in the same read.
    good = json.dumps({"version": 7, "servers": [make_entry(state="draining")]}).encode()
    for response in (chunked_response(good + b"\n]") + b"#", chunked_response(good) + b"zz\r\n#"):
        update, failed = await collect_watch_events(response, count=2, monkeypatch=monkeypatch)
        assert update.endpoints[0].state == "draining" and isinstance(failed, WatchFailed)


@pytest.mark.parametrize("half", [b'{"version":7,\n', b'{"version":7,"servers":[{"id":"a{'])
async def test_incomplete_object_is_no_sign_of_life(half: bytes, monkeypatch: pytest.MonkeyPatch) -> None:
    async def serve_slowly(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(chunked_response(b'{"version":6,"servers":[]}\n', half))
            while not reader.at_eof():
                writer.write(b"1\r\n\n\r\n")
                await asyncio.sleep(0.02)
        finally:  # also if the test ends first, which cancels this
            writer.close()

    monkeypatch.setattr(FakeDiscovery, "serve", lambda self, reader, writer: serve_slowly(reader, writer))
    update, failed = await collect_watch_events(b"", count=2, monkeypatch=monkeypatch, timeout_s=0.3)
    assert update.version == 6 and failed == WatchFailed("silent", DiscoveryFailure.SILENT)


async def test_watch_that_crashes_is_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    # The end of such a watch was once not reported, and the relay kept a stale list indefinitely.
    monkeypatch.setattr(discovery_watch, "parse_endpoint_list", lambda obj: 1 / 0)
    (failed,) = await collect_watch_events(chunked_response(b"{}"), count=1, monkeypatch=monkeypatch)
    assert "ZeroDivisionError" in failed.reason and failed.failure is DiscoveryFailure.UNUSABLE


# ---------------------------------------------------------------- the registry and replaced watches


class RecordingWatcher:
    """Watcher that records the versions after which watches were started."""

    def __init__(self) -> None:
        self.started_after: list[int] = []

    def start(self, after_version: int) -> int:
        self.started_after.append(after_version)
        return len(self.started_after)


@pytest.mark.timeout(5)
async def test_events_of_a_replaced_watch_neither_end_the_new_one_nor_set_its_version() -> None:
    events: asyncio.Queue[EndpointListEvent] = asyncio.Queue()
    address = ("127.0.0.1", 9)
    known = parse_endpoint_list({"version": 5, "full": True, "servers": [make_entry()]})
    watcher = RecordingWatcher()
    endpoint_registry = EndpointRegistry(known, events.put, watcher)  # type: ignore[arg-type]
    actor = asyncio.ensure_future(endpoint_registry.run())
    await endpoint_registry.post_message(WatchRequested())
    await endpoint_registry.post_message(DiscoveryAddressChanged())
    draining = parse_endpoint_list({"version": 900, "servers": [make_entry(state="draining")]})
    await endpoint_registry.on_watch_event(1, draining)
    await endpoint_registry.on_watch_event(1, WatchFailed("ended", DiscoveryFailure.LOST))
    await endpoint_registry.post_message(WatchRequested())  # ignored, since the new watch is open
    await endpoint_registry.on_watch_event(2, WatchFailed("ended", DiscoveryFailure.LOST))
    kinds = [(await events.get()).kind for _ in range(3)]
    assert kinds == ["stale", "changes", "failed"] and watcher.started_after == [5, 0]
    await endpoint_registry.post_message(WatchRequested())
    await endpoint_registry.on_watch_event(3, EndpointListUpdate(8, True, [], {}))
    assert (await events.get()).kind == "full" and watcher.started_after == [5, 0, 0]
    assert not endpoint_registry.is_ready_at("a", address) and endpoint_registry.version == 8
    actor.cancel()


@pytest.mark.parametrize("is_list_pushed", [True, False])
@pytest.mark.timeout(5)
async def test_watch_is_started_at_once_where_lists_are_pushed(is_list_pushed: bool) -> None:
    # With pushed lists the balancer requests no watch, so a real relay kept its first list and missed drains.
    events: asyncio.Queue[EndpointListEvent] = asyncio.Queue()
    known = parse_endpoint_list({"version": 5, "full": True, "servers": [make_entry()]})
    watcher = RecordingWatcher()
    endpoint_registry = EndpointRegistry(known, events.put, watcher, is_list_pushed=is_list_pushed)  # type: ignore[arg-type]
    actor = asyncio.ensure_future(endpoint_registry.run())
    await events.get()
    await asyncio.sleep(0)
    assert watcher.started_after == ([5] if is_list_pushed else [])
    await endpoint_registry.on_watch_event(
        len(watcher.started_after), WatchFailed("silent", DiscoveryFailure.SILENT)
    )
    assert await events.get() == EndpointListEvent("failed", [], DiscoveryFailure.SILENT)
    actor.cancel()
