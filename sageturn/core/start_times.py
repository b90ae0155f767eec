"""Converts the times at which endpoints started to the relay's time.

Discovery gives the start of each endpoint as Unix time. The system's clock may be stepped meanwhile, by an
hour or more, and slow start depends on how long ago the start really was.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from sageturn.core.clock import Clock
from sageturn.decision import Endpoint, EndpointStatus


@dataclass(frozen=True, slots=True)
class StartTime:
    """The start of one process of an endpoint, in Unix milliseconds."""

    listed_ms: float  # as discovery gave it, which identifies the start
    relay_ms: float  # in the relay's time


class StartTimes:
    """Converts the start times of listed endpoints, each start once: a later step of the clock moves none."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._by_endpoint: dict[str, StartTime] = {}

    def convert(self, endpoints: Iterable[Endpoint], *, is_full: bool) -> list[Endpoint]:
        """Return the endpoints of a list with their start in the relay's time.

        Args:
            endpoints: the list, or its changes.
            is_full: the list is complete, so that endpoints that it does not name are forgotten.
        """
        self._clock.read_wall_clock()
        known = self._by_endpoint
        if is_full:
            self._by_endpoint = {}
        return [self._convert(endpoint, known.get(endpoint.name)) for endpoint in endpoints]

    def _convert(self, endpoint: Endpoint, known: StartTime | None) -> Endpoint:
        listed_ms = endpoint.started_at_ms
        if not listed_ms or endpoint.state == EndpointStatus.GONE:
            self._by_endpoint.pop(endpoint.name, None)
            return endpoint
        if known is None or known.listed_ms != listed_ms:
            known = StartTime(listed_ms, self._clock.from_wall_ms(listed_ms))
        self._by_endpoint[endpoint.name] = known
        return endpoint if known.relay_ms == listed_ms else replace(endpoint, started_at_ms=known.relay_ms)
