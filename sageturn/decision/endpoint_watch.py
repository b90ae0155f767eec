"""Schedule of the balancer's calls to discovery for the endpoint list, and of retries after a failure.

``discovery_backoff`` computes the delays; this module tracks the call in flight and when the next one is due.
"""

from __future__ import annotations

from random import Random

from sageturn.decision import actions, events
from sageturn.decision.discovery_backoff import DiscoveryBackoff
from sageturn.decision.events import ListEventKind
from sageturn.decision.settings import DiscoveryMode, Settings

TIMER_TAG = "watch"
TIMER_SLACK_MS = 5.0  # tolerance for timers that fire early, as event loops count whole milliseconds


class EndpointWatch:
    """Scheduler of one relay's calls to discovery. Its methods return the required actions."""

    def __init__(self, settings: Settings, rng: Random) -> None:
        is_pushed = settings.discovery == DiscoveryMode.PUSH
        self._calls_discovery = settings.discovery == DiscoveryMode.ASK
        self._backoff = DiscoveryBackoff(settings.relay_count, settings.max_poll_interval_ms, rng, is_pushed)
        self._is_watching: bool | None = None  # None before the first call
        self._next_call_ms: float | None = None  # timers that fire earlier are obsolete

    def on_list(self, now_ms: float, event: events.EndpointListEvent) -> list[actions.Action]:
        """Handle an endpoint list, or the failure of a call or of a watch."""
        if event.kind == ListEventKind.FAILED:
            self._is_watching = False
            return self._schedule(now_ms, self._backoff.retry_delay_ms(now_ms, event.failure))
        if event.kind != ListEventKind.STALE:
            self._is_watching = True
            self._backoff.on_success()
            return []
        return self._schedule(now_ms, self._backoff.first_call_delay_ms()) if self._calls_discovery else []

    def _schedule(self, now_ms: float, delay_ms: float) -> list[actions.Action]:
        """Return a timer for a call. Of several pending timers, the first to fire makes the call."""
        call_ms = now_ms + delay_ms
        if self._next_call_ms is None or call_ms < self._next_call_ms:
            self._next_call_ms = call_ms
        return [actions.SetTimer(delay_ms, TIMER_TAG)]

    def on_connect_failed(self, now_ms: float) -> list[actions.Action]:
        """Handle a failed connect: the list held since the start is out of date, so call discovery sooner."""
        if self._is_watching is not None or not self._calls_discovery:
            return []
        self._is_watching = False
        return self._schedule(now_ms, self._backoff.first_call_delay_ms(stale=True))

    def on_timer(self, now_ms: float) -> list[actions.Action]:
        """Return the call that is due; none if a call or watch is open or the timer is obsolete."""
        if self._is_watching or (
            self._next_call_ms is not None and now_ms < self._next_call_ms - TIMER_SLACK_MS
        ):
            return []
        self._next_call_ms = None
        self._is_watching = True  # reset when this call is reported as failed
        return [actions.WatchEndpoints()]
