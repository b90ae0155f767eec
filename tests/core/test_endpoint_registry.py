"""Tests of the endpoint registry: it keeps listed endpoints, and does not grow with every release."""

from __future__ import annotations

import asyncio

import pytest

from sageturn.core.endpoint_registry import MAX_REMOVED_ADDRESSES, EndpointRegistry
from sageturn.core.messages import DiscoveryAddressChanged, EndpointListUpdate, WatchFailed
from sageturn.core.tasks import cancel_and_wait
from sageturn.decision import DiscoveryFailure, Endpoint, EndpointListEvent, Event

ADDRESS = ("127.0.0.1", 9)


def listed_endpoints(event: Event) -> list[Endpoint]:
    """Return the endpoints of a list event."""
    assert isinstance(event, EndpointListEvent)
    return list(event.endpoints)


async def test_only_the_latest_removed_endpoints_are_retained() -> None:
    events: asyncio.Queue[Event] = asyncio.Queue()
    registry = EndpointRegistry(EndpointListUpdate(0, True), events.put)
    for number in range(3 * MAX_REMOVED_ADDRESSES):
        name = f"s{number}"
        address = ("127.0.0.1", 1 + number)
        registry.apply_update(EndpointListUpdate(1, False, [Endpoint(name)], {name: address}))
        assert registry.is_ready_at(name, address)
        registry.apply_update(EndpointListUpdate(1, False, [Endpoint(name, "gone")]))
        assert not registry.is_ready_at(name, address) and name in registry.addresses
    assert not registry.states and len(registry.addresses) <= MAX_REMOVED_ADDRESSES + 1


async def test_a_ready_endpoint_without_an_address_is_dropped_and_logged(
    caplog: pytest.LogCaptureFixture,
) -> None:
    # Each request used all its attempts on such an endpoint, and no log line explained it.
    events: asyncio.Queue[Event] = asyncio.Queue()
    initial_list = EndpointListUpdate(1, True, [Endpoint("a"), Endpoint("b")], {"b": ADDRESS})
    registry = EndpointRegistry(initial_list, events.put)
    running = asyncio.ensure_future(registry.run())
    assert [endpoint.name for endpoint in listed_endpoints(await events.get())] == ["b"]
    await registry.on_watch_event(0, EndpointListUpdate(2, False, [Endpoint("b"), Endpoint("c")]))
    assert [endpoint.name for endpoint in listed_endpoints(await events.get())] == ["b"]
    assert registry.states.keys() == {"b"} and registry.is_ready_at("b", ADDRESS)
    assert [message for message in caplog.messages if "no address" in message] == [
        "endpoint has no address endpoint=a version=1",
        "endpoint has no address endpoint=c version=2",
    ]
    await registry.on_watch_event(0, EndpointListUpdate(3, False, [Endpoint("c")], {"c": ADDRESS}))
    assert [endpoint.name for endpoint in listed_endpoints(await events.get())] == ["c"]
    await cancel_and_wait(running)


class CountingWatcher:
    """Fake discovery client that gives every watch the next number."""

    def __init__(self) -> None:
        self.started = 0

    def start(self, after_version: int) -> int:
        self.started += 1
        return self.started


async def test_an_open_watch_is_not_replaced_by_a_timer_set_before_it() -> None:
    # A reload during an outage calls discovery at its new address at once. The timer set after the last
    # failed call then aborted that call and repeated it, at the end of the queue in which it had waited.
    events: asyncio.Queue[Event] = asyncio.Queue()
    watcher = CountingWatcher()
    registry = EndpointRegistry(EndpointListUpdate(0, True), events.put, watcher)
    running = asyncio.ensure_future(registry.run())
    await registry.post_message(DiscoveryAddressChanged())
    registry.request_watch()
    await events.get()  # the initial list
    await registry.on_watch_event(1, EndpointListUpdate(1, True))
    await events.get()
    assert watcher.started == 1
    registry.request_watch()
    await registry.on_watch_event(1, WatchFailed("lost", DiscoveryFailure.LOST))
    await events.get()
    assert watcher.started == 1
    registry.request_watch()
    await registry.on_watch_event(2, EndpointListUpdate(2, True))
    await events.get()
    assert watcher.started == 2
    await registry.post_message(DiscoveryAddressChanged())  # the open watch is obsolete now
    await registry.on_watch_event(2, WatchFailed("replaced", DiscoveryFailure.LOST))
    registry.request_watch()
    await registry.on_watch_event(3, EndpointListUpdate(3, True))
    await events.get()
    assert watcher.started == 3 and registry.version == 3
    await cancel_and_wait(running)
