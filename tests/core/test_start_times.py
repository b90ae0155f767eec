"""Tests of start times: an endpoint first listed after the last list is new, whatever its timestamp says."""

from __future__ import annotations

import asyncio

import pytest
from support.network_fakes import encode_watch_response, make_endpoint_list
from support.ports import Address

from sageturn.core.clock import Clock
from sageturn.core.messages import EndpointListUpdate, WatchFailed
from sageturn.core.start_times import MAX_FORMER_STARTS, MAX_LIST_DELAY_MS, StartTimes
from sageturn.decision import Endpoint
from sageturn.net.discovery_watch import DiscoveryWatch

HOUR_MS = 3.6e6
NOW_MS = 1.8e12  # Unix time by the endpoints' clocks at the relay's start


class AheadClock:
    """Clock and start times of a relay whose system clock has been ahead since its start."""

    def __init__(self, ahead_ms: float = HOUR_MS) -> None:
        self.elapsed_ms = 0.0
        self.clock = Clock(
            lambda: (NOW_MS + ahead_ms + self.elapsed_ms) / 1000.0, lambda: self.elapsed_ms / 1000.0
        )
        self.times = StartTimes(self.clock)

    def started(self, name: str, age_ms: float) -> Endpoint:
        """Return an endpoint that started ``age_ms`` ago, with a timestamp by a correct clock."""
        return Endpoint(name, started_at_ms=NOW_MS + self.elapsed_ms - age_ms)

    def age_ms(self, endpoint: Endpoint) -> float:
        """Return the age of a converted endpoint by the relay's time."""
        return self.clock.now_ms() - endpoint.started_at_ms


def list_old_endpoints(relay: AheadClock) -> None:
    listed = [relay.started(name, 24.0 * HOUR_MS) for name in ("a", "b")]
    relay.times.convert(listed, is_full=True)


def test_an_endpoint_that_restarts_is_new_to_a_relay_whose_clock_was_ahead_from_its_start() -> None:
    # It seemed an hour old and got no slow start: it was sent nine connections in its first second, not none.
    relay = AheadClock()
    list_old_endpoints(relay)
    relay.elapsed_ms = 5000.0 + MAX_LIST_DELAY_MS
    (restarted,) = relay.times.convert([relay.started("a", 1000.0)], is_full=False)
    assert 0.0 <= relay.age_ms(restarted) <= 1000.0


def test_an_endpoint_with_a_new_name_is_new_as_well() -> None:
    # A release replaces endpoints by others with new names.
    relay = AheadClock()
    list_old_endpoints(relay)
    relay.elapsed_ms = 5000.0
    (added,) = relay.times.convert([relay.started("c", 1000.0)], is_full=False)
    assert 0.0 <= relay.age_ms(added) <= 1000.0


def test_a_clock_difference_found_by_one_start_applies_to_later_ones() -> None:
    relay = AheadClock()
    list_old_endpoints(relay)
    relay.elapsed_ms = 5000.0
    relay.times.convert([relay.started("a", 1000.0)], is_full=False)
    relay.elapsed_ms += HOUR_MS + 60_000.0  # too long after the last list to reveal the difference by itself
    (second,) = relay.times.convert([relay.started("b", 1000.0)], is_full=False)
    assert 0.0 <= relay.age_ms(second) <= 6000.0


def test_a_restart_after_a_long_idle_time_is_dated_by_the_last_confirmation_of_the_watch() -> None:
    relay = AheadClock()
    list_old_endpoints(relay)
    relay.elapsed_ms = 3.0 * HOUR_MS
    (restarted,) = relay.times.convert([relay.started("a", 1000.0)], is_full=False, confirmed_age_ms=2000.0)
    assert 0.0 <= relay.age_ms(restarted) <= 1000.0


@pytest.mark.parametrize("is_full", [True, False])
def test_an_endpoint_that_is_listed_again_unchanged_keeps_its_age(is_full: bool) -> None:
    # An endpoint that was not listed while its zone was unreachable is the same process, already warmed up.
    relay = AheadClock(0.0)
    cut_off, other = relay.started("a", 24.0 * HOUR_MS), relay.started("b", 24.0 * HOUR_MS)
    relay.times.convert([cut_off, other], is_full=True)
    relay.elapsed_ms = 10_000.0
    relay.times.convert([other] if is_full else [Endpoint("a", "gone")], is_full=is_full)
    relay.elapsed_ms = 30_000.0
    assert relay.times.convert([cut_off], is_full=False) == [cut_off]


def test_the_first_complete_list_does_not_limit_the_age_of_its_endpoints() -> None:
    # The list of the configuration may be of any age.
    relay = AheadClock(0.0)
    relay.times.convert([relay.started("a", 24.0 * HOUR_MS)], is_full=True, is_current=False)
    relay.elapsed_ms = 10_000.0
    listed = [relay.started("a", HOUR_MS), relay.started("c", HOUR_MS)]
    assert relay.times.convert(listed, is_full=True) == listed


def test_an_endpoint_that_is_listed_with_a_delay_keeps_its_age_if_the_clocks_agree() -> None:
    relay = AheadClock(0.0)
    list_old_endpoints(relay)
    relay.elapsed_ms = 10_000.0
    late = relay.started("a", MAX_LIST_DELAY_MS - 1000.0)
    assert relay.times.convert([late], is_full=False, confirmed_age_ms=1.0) == [late]


def test_only_the_latest_starts_of_removed_endpoints_are_retained() -> None:
    relay = AheadClock(0.0)
    relay.times.convert([], is_full=True)
    first = relay.started("s0", 1000.0)
    for number in range(MAX_FORMER_STARTS + 2):
        relay.elapsed_ms += 1000.0
        relay.times.convert([relay.started(f"s{number}", 1000.0)], is_full=False)
        relay.times.convert([Endpoint(f"s{number}", "gone")], is_full=False)
    (returned,) = relay.times.convert([first], is_full=False)
    assert relay.age_ms(returned) < 1000.0  # seems younger than it is, since its start was dropped


async def test_a_watch_reports_the_time_since_it_last_confirmed_the_list() -> None:
    address: Address = ("127.0.0.1", 9)
    response = encode_watch_response(make_endpoint_list({"a": address}, 1))
    change = encode_watch_response(make_endpoint_list({"a": address}, 2)).split(b"\r\n\r\n", 1)[1]
    heartbeat = b"1\r\n\n\r\n"

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        for pause_s, data in ((0.0, response), (0.3, heartbeat), (0.1, change)):
            await asyncio.sleep(pause_s)
            writer.write(data)
        await writer.drain()
        writer.close()

    updates: list[EndpointListUpdate] = []

    async def on_update(update: EndpointListUpdate) -> None:
        updates.append(update)

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    async with server:
        watch = DiscoveryWatch(server.sockets[0].getsockname()[:2], 0, on_update, lambda: 0.0)
        assert isinstance(await watch.run(), WatchFailed)
    first, second = updates
    assert first.confirmed_age_ms is None
    assert second.confirmed_age_ms is not None and 50.0 <= second.confirmed_age_ms < 300.0
