"""Converts the start times of endpoints to the relay's time.

Discovery gives the start of each endpoint as Unix time. The system clock may be stepped later, by an hour or
more, or may differ from the endpoints' clocks from the relay's start on, but slow start depends on the real
age of the endpoint. A start that discovery lists for the first time cannot precede the previous list, or
its latest confirmation, by more than ``MAX_LIST_DELAY_MS``, whatever its timestamp says.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import replace
from typing import NamedTuple

from sageturn.core.clock import Clock
from sageturn.decision import Endpoint, EndpointStatus

MAX_LIST_DELAY_MS = 6000.0  # longest time between an endpoint's start and its listing by discovery
MAX_FORMER_STARTS = 512  # more endpoints than the largest release replaces at once


class EndpointStart(NamedTuple):
    """The start of one process of an endpoint."""

    endpoint: str
    listed_ms: float  # Unix time that discovery gave, which identifies the start


class StartTimes:
    """Converter of start times. Each start is converted once, so a later clock step does not change it."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._listed_starts: dict[str, EndpointStart] = {}  # current starts by endpoint name
        self._relay_ms: dict[EndpointStart, float] = {}  # listed starts in the relay's time
        # Starts that are no longer listed, in the relay's time, in the order of their removal.
        self._former_relay_ms: OrderedDict[EndpointStart, float] = OrderedDict()
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
            endpoints: the complete list, or its changes.
            is_full: True if the list is complete, so that endpoints that it does not name are removed.
            is_current: True if discovery has just sent the list; otherwise its age is unknown.
            confirmed_age_ms: time since discovery last confirmed the previous list; None if it did not.
        """
        self._clock.read_wall_clock()
        now_ms = self._clock.now_ms()
        earliest_ms = self._earliest_new_start_ms(now_ms, confirmed_age_ms)
        unnamed = set(self._listed_starts) if is_full else set()
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
        """Return the earliest possible time of a start that is listed for the first time; None if unknown."""
        if self._last_list_ms is None:
            return None
        confirmed_ms = self._last_list_ms
        if confirmed_age_ms is not None:
            confirmed_ms = max(confirmed_ms, now_ms - confirmed_age_ms)
        return confirmed_ms - MAX_LIST_DELAY_MS

    def _convert(self, endpoint: Endpoint, earliest_ms: float | None) -> Endpoint:
        if not endpoint.started_at_ms or endpoint.state == EndpointStatus.REMOVED:
            self._retire(endpoint.name)
            return endpoint
        start = EndpointStart(endpoint.name, endpoint.started_at_ms)
        if self._listed_starts.get(endpoint.name) != start:
            self._retire(endpoint.name)
            former_ms = self._former_relay_ms.pop(start, None)
            self._relay_ms[start] = self._to_relay_ms(start, earliest_ms) if former_ms is None else former_ms
            self._listed_starts[endpoint.name] = start
        relay_ms = self._relay_ms[start]
        return endpoint if relay_ms == start.listed_ms else replace(endpoint, started_at_ms=relay_ms)

    def _to_relay_ms(self, start: EndpointStart, earliest_ms: float | None) -> float:
        relay_ms = self._clock.from_wall_ms(start.listed_ms)
        if earliest_ms is None or relay_ms >= earliest_ms:
            return relay_ms
        self._clock.record_recent_start(start.endpoint, start.listed_ms, earliest_ms)
        return self._clock.from_wall_ms(start.listed_ms)

    def _retire(self, name: str) -> None:
        """Retain a start that is no longer listed for a while: its endpoint may be listed again."""
        start = self._listed_starts.pop(name, None)
        if start is not None:
            self._former_relay_ms[start] = self._relay_ms.pop(start)
            if len(self._former_relay_ms) > MAX_FORMER_STARTS:
                self._former_relay_ms.popitem(last=False)
