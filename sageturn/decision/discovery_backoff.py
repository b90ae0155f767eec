"""The delays of a relay's calls to discovery: backoff with jitter, by the cost of the previous call there.

All fixed times between a change at discovery and the relay that is notified of it are here, with the client's
timeouts, since their sum is bounded: docs/design/discovery-calls.md adds them up, path by path.

The module is pure: it has no clock and does no I/O, and its randomness is passed in.
"""

from __future__ import annotations

from random import Random

from sageturn.decision.events import DiscoveryFailure

ENDPOINT_LIST_DEADLINE_MS = 6000.0  # from when discovery can be reached until the relay has its changes

# Timeouts of the client.
CONNECT_TIMEOUT_MS = 1000.0
RESPONSE_TIMEOUT_MS = 3500.0  # discovery itself fails a call that has waited 3 s for its response
IDLE_TIMEOUT_MS = 3200.0  # discovery sends an empty line every 2 s

MAX_QUEUE_MS = 3000.0  # discovery fails calls that have waited longer in its queue

# Longest time that the client may have waited itself when it reports a failure; 0 for those not listed.
MAX_DETECTION_MS = {
    DiscoveryFailure.UNREACHED: CONNECT_TIMEOUT_MS,
    DiscoveryFailure.OVERLOADED: MAX_QUEUE_MS,
    DiscoveryFailure.UNANSWERED: RESPONSE_TIMEOUT_MS,
    DiscoveryFailure.SILENT: IDLE_TIMEOUT_MS,
}

# Delays.
MAX_DELAY_MS = 2800.0  # leaves 3.2 s until the deadline, as discovery fails a call that has waited 3 s
MIN_RESPONSE_TIME_MS = 1000.0  # left until the deadline after a failure that took long to detect
MAX_STALE_LIST_DELAY_MS = ENDPOINT_LIST_DEADLINE_MS - MIN_RESPONSE_TIME_MS - IDLE_TIMEOUT_MS
MIN_DELAY_LIMIT_MS = 1050.0  # lower bound of the longest delay after a failed call, for small fleets
MAX_PUSHED_DELAY_MS = 150.0  # where lists are pushed: no other relay shares the local agent
MIN_JITTER_RATIO = 1.0 / 3.0  # of the longest delay; delays are uniform between this part and the whole
LONGEST_TO_MEAN_DELAY = 1.5  # of delays that are uniform between a third of the longest and the longest

# Discovery handles one call after another; a relay cannot tell the cost of a call.
FAST_CALL_MS = 21.0
TYPICAL_CALL_MS = 43.0
SLOW_CALL_MS = 130.0
MIN_QUEUED_MS = 1000.0  # a call that fails sooner was not queued: discovery was down, or rejected it
MAX_OVERLOAD_FACTOR = 2.0  # largest mean delay over the time that all relays' slow calls exceed the queue by
MAX_OVERLOAD_COUNT = 20  # bounds the exponent

# Discovery that is down may keep calls waiting as an overloaded one does. It is assumed to be down after an
# established watch was lost, if fast calls of all relays fit in the queue.
MAX_FLEET_CALLS_MS = 4500.0
ASSUMED_DOWN_MS = 70000.0  # an outage of a minute, and two calls


def classify_rejection(waited_ms: float) -> DiscoveryFailure:
    """Return the failure of a call that was reset or rejected after it had waited so long for a response."""
    return DiscoveryFailure.OVERLOADED if waited_ms >= MIN_QUEUED_MS else DiscoveryFailure.UNREACHED


class DiscoveryBackoff:
    """Computes the delays before a relay's calls to discovery.

    Jitter keeps them apart from those of other relays. They end in time for ``ENDPOINT_LIST_DEADLINE_MS``,
    and grow exponentially only where discovery is overloaded and that deadline is out of reach.
    """

    def __init__(
        self, relay_count: int, max_poll_interval_ms: float, rng: Random, pushed: bool = False
    ) -> None:
        """Create the backoff.

        Args:
            relay_count: Relays that share discovery.
            max_poll_interval_ms: Of the settings, 0 if they name none. Delays end within half of it.
            rng: The source of the jitter.
            pushed: Lists are pushed to a local agent, so that its list counts as known without a call.
        """
        self._rng = rng
        self._max_poll_interval_ms = max_poll_interval_ms
        max_delay_ms = min(MAX_DELAY_MS, max_poll_interval_ms / 2.0 or MAX_DELAY_MS)
        self._first_call_spread_ms = min(relay_count * SLOW_CALL_MS, max_delay_ms)
        # Times that an overloaded queue takes to shrink to one that is answered; negative for few relays.
        typical_excess_ms = relay_count * TYPICAL_CALL_MS - MAX_QUEUE_MS
        slow_excess_ms = relay_count * SLOW_CALL_MS - MAX_QUEUE_MS
        if pushed:
            self._max_delay_ms = MAX_PUSHED_DELAY_MS
            self._overloaded_base_ms = self._max_delay_ms
            self._max_overloaded_delay_ms = self._max_delay_ms
        else:
            self._max_delay_ms = max(MIN_DELAY_LIMIT_MS, min(2.0 * self._first_call_spread_ms, max_delay_ms))
            self._overloaded_base_ms = max(self._max_delay_ms, LONGEST_TO_MEAN_DELAY * typical_excess_ms)
            self._max_overloaded_delay_ms = max(
                self._overloaded_base_ms, LONGEST_TO_MEAN_DELAY * MAX_OVERLOAD_FACTOR * slow_excess_ms
            )
        self._overload_count = 0  # consecutive overloaded calls, less the other failures since
        self._fleet_fits_queue = relay_count * FAST_CALL_MS <= MAX_FLEET_CALLS_MS
        self._assumed_down_until_ms = float("-inf")
        self._watch_lost_at_ms = float("-inf")

    def first_call_delay_ms(self, stale: bool = False) -> float:
        """Return the delay of a new process's first call.

        Args:
            stale: An attempt has shown that the list held since the start is out of date.
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
            # All relays may have lost their watches at once while discovery is well. But a watch that ends
            # repeatedly is no better than a failed call.
            ends_repeatedly = now_ms < self._watch_lost_at_ms + self._max_poll_interval_ms
            self._watch_lost_at_ms = now_ms
            if not ends_repeatedly:
                self._assumed_down_until_ms = now_ms + ASSUMED_DOWN_MS if self._fleet_fits_queue else now_ms
                return min(self._first_call_spread_ms, limit_ms) * self._rng.random()
        elif failure is DiscoveryFailure.OVERLOADED:
            limit_ms = self._record_overload(now_ms, limit_ms)
        else:
            # A queue has had time to shrink, and discovery does not keep calls waiting while it is down.
            self._overload_count = max(self._overload_count - 1, 0)
            self._assumed_down_until_ms = now_ms
        return limit_ms * (MIN_JITTER_RATIO + (1.0 - MIN_JITTER_RATIO) * self._rng.random())

    def on_success(self) -> None:
        """Reset the count of overloaded calls, as a list has come."""
        self._overload_count = 0

    def _record_overload(self, now_ms: float, limit_ms: float) -> float:
        """Return the longest delay after an overloaded call.

        A single one may be due to an outage that emptied the queue: the deadline is still met after it.

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
