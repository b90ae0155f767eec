"""Backoff with jitter for a relay's calls to discovery, by what the previous call cost discovery.

This module holds all fixed times between a change at discovery and the notification of a relay, including the
client's timeouts, because their sum is bounded: docs/design/discovery-calls.md adds them up, path by path.

The module is pure: it has no clock and does no I/O, and its randomness is passed in.
"""

from __future__ import annotations

from random import Random

from sageturn.decision.events import DiscoveryFailure

ENDPOINT_LIST_DEADLINE_MS = 6000.0  # time until a relay has all changes once discovery can be reached

# Timeouts of the client.
CONNECT_TIMEOUT_MS = 1000.0
RESPONSE_TIMEOUT_MS = 3500.0  # discovery itself fails a call that has waited 3 s for its response
IDLE_TIMEOUT_MS = 3200.0  # discovery sends an empty line every 2 s

MAX_QUEUE_MS = 3000.0  # discovery fails calls that have waited longer in its queue

# Longest time that the client takes to detect each failure; 0 for failures that are not listed.
MAX_DETECTION_MS = {
    DiscoveryFailure.UNREACHED: CONNECT_TIMEOUT_MS,
    DiscoveryFailure.OVERLOADED: MAX_QUEUE_MS,
    DiscoveryFailure.UNANSWERED: RESPONSE_TIMEOUT_MS,
    DiscoveryFailure.SILENT: IDLE_TIMEOUT_MS,
}

# Delays.
MAX_DELAY_MS = 2800.0  # leaves 3.2 s until the deadline, as discovery fails a call that has waited 3 s
MIN_RESPONSE_TIME_MS = 1000.0  # time left until the deadline after a failure that is slow to detect
MAX_STALE_LIST_DELAY_MS = ENDPOINT_LIST_DEADLINE_MS - MIN_RESPONSE_TIME_MS - IDLE_TIMEOUT_MS
MIN_DELAY_LIMIT_MS = 1050.0  # lower bound of the longest delay after a failed call, for small fleets
MAX_PUSHED_DELAY_MS = 150.0  # longest delay if lists are pushed: no other relay shares the local agent
MIN_JITTER_RATIO = 1.0 / 3.0  # shortest over longest delay; delays are uniform between the two
LONGEST_TO_MEAN_DELAY = 1.5  # longest over mean delay, if delays are uniform from a third of the longest

# Processing times of a call at discovery, which handles one call at a time. A relay cannot measure them.
FAST_CALL_MS = 21.0
TYPICAL_CALL_MS = 43.0
SLOW_CALL_MS = 130.0
MIN_QUEUED_MS = 1000.0  # a call that fails sooner was not queued: discovery was down, or rejected it
MAX_OVERLOAD_FACTOR = 2.0  # largest mean delay over the time by which all relays' slow calls exceed the queue
MAX_OVERLOAD_COUNT = 20  # largest exponent of the backoff

# Discovery that is down may keep calls waiting as an overloaded one does. It is assumed to be down after an
# established watch was lost, if fast calls of all relays fit in the queue.
MAX_FLEET_CALLS_MS = 4500.0  # longest total of all relays' fast calls that fits in the queue
ASSUMED_DOWN_MS = 70000.0  # an outage of a minute, and two calls


def classify_rejection(waited_ms: float) -> DiscoveryFailure:
    """Return the failure of a call that was reset or rejected after waiting ``waited_ms`` for a response."""
    return DiscoveryFailure.OVERLOADED if waited_ms >= MIN_QUEUED_MS else DiscoveryFailure.UNREACHED


class DiscoveryBackoff:
    """Calculator of the delays before a relay's calls to discovery.

    Jitter separates the calls of different relays. Delays are short enough for ``ENDPOINT_LIST_DEADLINE_MS``,
    and grow exponentially only if discovery is overloaded and that deadline cannot be met.
    """

    def __init__(
        self, relay_count: int, max_poll_interval_ms: float, rng: Random, is_list_pushed: bool = False
    ) -> None:
        """Create the backoff.

        Args:
            relay_count: Relays that share discovery.
            max_poll_interval_ms: The setting, 0 if it is not given. Delays end within half of it.
            rng: The source of the jitter.
            is_list_pushed: True if lists are pushed to a local agent, which has the current one without a
                call.
        """
        self._rng = rng
        self._max_poll_interval_ms = max_poll_interval_ms
        max_delay_ms = min(MAX_DELAY_MS, max_poll_interval_ms / 2.0 or MAX_DELAY_MS)
        self._first_call_spread_ms = min(relay_count * SLOW_CALL_MS, max_delay_ms)
        # Time until an overloaded queue is so short that its calls are answered; negative for few relays.
        typical_excess_ms = relay_count * TYPICAL_CALL_MS - MAX_QUEUE_MS
        slow_excess_ms = relay_count * SLOW_CALL_MS - MAX_QUEUE_MS
        if is_list_pushed:
            self._max_delay_ms = MAX_PUSHED_DELAY_MS
            self._overloaded_base_ms = self._max_delay_ms
            self._max_overloaded_delay_ms = self._max_delay_ms
        else:
            self._max_delay_ms = max(MIN_DELAY_LIMIT_MS, min(2.0 * self._first_call_spread_ms, max_delay_ms))
            self._overloaded_base_ms = max(self._max_delay_ms, LONGEST_TO_MEAN_DELAY * typical_excess_ms)
            self._max_overloaded_delay_ms = max(
                self._overloaded_base_ms, LONGEST_TO_MEAN_DELAY * MAX_OVERLOAD_FACTOR * slow_excess_ms
            )
        self._overload_count = 0  # overloaded calls since the last list, minus other failures; at least 0
        self._fleet_fits_queue = relay_count * FAST_CALL_MS <= MAX_FLEET_CALLS_MS
        self._assumed_down_until_ms = float("-inf")
        self._watch_lost_at_ms = float("-inf")

    def first_call_delay_ms(self, stale: bool = False) -> float:
        """Return the delay of a new process's first call.

        Args:
            stale: True if an attempt has shown that the list held since the start is out of date.
        """
        spread_ms = self._first_call_spread_ms
        if stale:
            spread_ms = min(spread_ms, MAX_STALE_LIST_DELAY_MS)
        return spread_ms * self._rng.random()

    def retry_delay_ms(self, now_ms: float, failure: DiscoveryFailure) -> float:
        """Return the delay of the next call, after a call or an established watch failed at ``now_ms``."""
        detection_ms = MAX_DETECTION_MS.get(failure, 0.0)
        limit_ms = min(self._max_delay_ms, ENDPOINT_LIST_DEADLINE_MS - MIN_RESPONSE_TIME_MS - detection_ms)
        if failure in (DiscoveryFailure.LOST, DiscoveryFailure.SILENT):
            # All relays may lose their watches at once while discovery is healthy. But a watch that ends
            # repeatedly is treated like a failed call.
            ends_repeatedly = now_ms < self._watch_lost_at_ms + self._max_poll_interval_ms
            self._watch_lost_at_ms = now_ms
            if not ends_repeatedly:
                self._assumed_down_until_ms = now_ms + ASSUMED_DOWN_MS if self._fleet_fits_queue else now_ms
                return min(self._first_call_spread_ms, limit_ms) * self._rng.random()
        elif failure is DiscoveryFailure.OVERLOADED:
            limit_ms = self._record_overload(now_ms, limit_ms)
        else:
            # Discovery's queue has had time to shrink, and calls do not wait in it while discovery is down.
            self._overload_count = max(self._overload_count - 1, 0)
            self._assumed_down_until_ms = now_ms
        return limit_ms * (MIN_JITTER_RATIO + (1.0 - MIN_JITTER_RATIO) * self._rng.random())

    def on_success(self) -> None:
        """Reset the count of overloaded calls, because a list was received."""
        self._overload_count = 0

    def _record_overload(self, now_ms: float, limit_ms: float) -> float:
        """Count an overloaded call, and return the longest delay after it.

        A single one may be due to an outage that has emptied the queue, so it does not raise the delay and
        the deadline is still met.

        Args:
            now_ms: The time of the failure.
            limit_ms: The longest delay after any other failed call.
        """
        if now_ms < self._assumed_down_until_ms:
            return limit_ms
        if self._overload_count and self._max_overloaded_delay_ms > self._max_delay_ms:
            limit_ms = min(
                self._overloaded_base_ms * 2.0**self._overload_count, self._max_overloaded_delay_ms
            )
        self._overload_count = min(self._overload_count + 1, MAX_OVERLOAD_COUNT)
        return limit_ms
