"""Converts the times at which endpoints started to the relay's time.

Discovery gives the start of each endpoint as Unix time. The system's clock may be stepped meanwhile, by an
hour or more, or may have differed from the endpoints' clocks from the relay's start on; slow start depends on
how long ago the start really was. A start that discovery did not list before is also known to be no older
than that earlier word of discovery, whatever its timestamp says.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import replace
from typing import NamedTuple

from sageturn.core.clock import Clock
from sageturn.decision import Endpoint, EndpointStatus

MAX_LIST_DELAY_MS = 6000.0  # from an endpoint's start until discovery lists it
MAX_FORMER_STARTS = 512  # more than the largest release replaces at once


class EndpointStart(NamedTuple):
    """The start of one process of an endpoint."""

    endpoint: str
    listed_ms: float  # Unix time as discovery gave it, which identifies the start


class StartTimes:
    """Converts the start times of listed endpoints, each start once: a later step of the clock moves none."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._by_endpoint: dict[str, EndpointStart] = {}  # as listed now
        self._relay_ms: dict[EndpointStart, float] = {}  # of these, in the relay's time
        self._former: OrderedDict[EndpointStart, float] = OrderedDict()  # of those not listed any more
        self._last_list_ms: float | None = None  # relay's time; None before the first complete list

    def convert(
        self,
        endpoints: Iterable[Endpoint],
        *,
        is_full: bool,
        is_current: bool = True,
        confirmed_age_ms: float | None = None,
    ) -> list[Endpoint]:
        """Return the endpoints of a list with their start in the relay's time.

        Args:
            endpoints: the list, or its changes.
            is_full: the list is complete, so that endpoints that it does not name are forgotten.
            is_current: discovery has just sent it; otherwise its age is not known.
            confirmed_age_ms: how long ago discovery last confirmed the list before it; None if it did not.
        """
        self._clock.read_wall_clock()
        now_ms = self._clock.now_ms()
        earliest_ms = self._earliest_new_start_ms(now_ms, confirmed_age_ms)
        unnamed = set(self._by_endpoint) if is_full else set()
        converted = []
        for endpoint in endpoints:
            unnamed.discard(endpoint.name)
            converted.append(self._convert(endpoint, earliest_ms))
        for name in unnamed:
            self._retire(name)
        if is_current and (is_full or self._last_list_ms is not None):
            self._last_list_ms = now_ms
        return converted

    def _earliest_new_start_ms(self, now_ms: float, confirmed_age_ms: float | None) -> float | None:
        """Return the moment before which no start that is listed for the first time can have been."""
        if self._last_list_ms is None:
            return None
        confirmed_ms = self._last_list_ms
        if confirmed_age_ms is not None:
            confirmed_ms = max(confirmed_ms, now_ms - confirmed_age_ms)
        return confirmed_ms - MAX_LIST_DELAY_MS

    def _convert(self, endpoint: Endpoint, earliest_ms: float | None) -> Endpoint:
        if not endpoint.started_at_ms or endpoint.state == EndpointStatus.GONE:
            self._retire(endpoint.name)
            return endpoint
        start = EndpointStart(endpoint.name, endpoint.started_at_ms)
        if self._by_endpoint.get(endpoint.name) != start:
            self._retire(endpoint.name)
            former_ms = self._former.pop(start, None)
            self._relay_ms[start] = self._to_relay_ms(start, earliest_ms) if former_ms is None else former_ms
            self._by_endpoint[endpoint.name] = start
        relay_ms = self._relay_ms[start]
        return endpoint if relay_ms == start.listed_ms else replace(endpoint, started_at_ms=relay_ms)

    def _to_relay_ms(self, start: EndpointStart, earliest_ms: float | None) -> float:
        relay_ms = self._clock.from_wall_ms(start.listed_ms)
        if earliest_ms is None or relay_ms >= earliest_ms:
            return relay_ms
        self._clock.record_recent_start(start.endpoint, start.listed_ms, earliest_ms)
        return self._clock.from_wall_ms(start.listed_ms)

    def _retire(self, name: str) -> None:
        """Keep a start that is not listed any more for a while: its endpoint may come back."""
        start = self._by_endpoint.pop(name, None)
        if start is not None:
            self._former[start] = self._relay_ms.pop(start)
            if len(self._former) > MAX_FORMER_STARTS:
                self._former.popitem(last=False)
