"""When a relay calls discovery, and when again: backoff with jitter, by what the previous call cost there.

The module is pure: it has no clock and does no I/O, and its randomness is passed in. All fixed times between
a change at discovery and the relay that learns it stand here, the client's timeouts too, since their sum is
bounded: docs/design/discovery-calls.md adds them up, path by path.
"""

from __future__ import annotations

from random import Random

from sageturn.decision import DiscoveryFailure

# Once discovery can be reached, a relay counts as notified of its changes after so long.
ENDPOINT_LIST_DEADLINE_MS = 6000.0
# Timeouts of the client. An empty line comes every 2 s, so one that is missing is noticed after 3.2 s, which
# leaves 1.2 s for a busy core. Discovery itself fails a call that has waited 3 s for its response; half a
# second is for the way.
CONNECT_TIMEOUT_MS = 1000.0
RESPONSE_TIMEOUT_MS = 3500.0
IDLE_TIMEOUT_MS = 3200.0
# How long the client may have waited itself by the time it reports a failure; 0 for those that are not here.
MAX_DETECTION_MS = {
    DiscoveryFailure.UNREACHED: CONNECT_TIMEOUT_MS,
    DiscoveryFailure.OVERLOADED: 3000.0,
    DiscoveryFailure.UNANSWERED: RESPONSE_TIMEOUT_MS,
    DiscoveryFailure.SILENT: IDLE_TIMEOUT_MS,
}
# Delays end at least 3.2 s before the deadline: as discovery fails a call that has waited 3 s, one that is
# placed by then is answered in time or not at all.
MAX_DELAY_MS = 2800.0
# Where detecting the failure took longer, at least so much is left for the response.
MIN_RESPONSE_TIME_MS = 1000.0
# The longest delay of a first call once the list held at the start is known to be out of date.
MAX_STALE_LIST_DELAY_MS = ENDPOINT_LIST_DEADLINE_MS - MIN_RESPONSE_TIME_MS - IDLE_TIMEOUT_MS
# The longest delay after a failed call is never under this: a lone relay does not hammer discovery either.
MIN_DELAY_LIMIT_MS = 1050.0
# Delays are uniform between this part of the longest delay and the whole of it.
MIN_JITTER_RATIO = 1.0 / 3.0
# Discovery handles one call after another. Nothing tells a relay what one costs it: 48 responses in a second
# were seen, single ones after 43 ms, and 130 ms each in a queue that was overloaded. Calls are spread for the
# slowest while there is time for that.
FAST_CALL_MS = 21.0
TYPICAL_CALL_MS = 43.0
SLOW_CALL_MS = 130.0
# A queue longer than this makes calls fail, and discovery works on the failed calls too.
MAX_QUEUE_MS = 3000.0
# A call that fails sooner was never in that queue: discovery was down, or rejected it.
MIN_QUEUED_MS = 1000.0
# The mean delay at last, as a multiple of the time that slow calls of all relays take beyond the queue.
MAX_OVERLOAD_FACTOR = 2.0
MAX_OVERLOAD_COUNT = 20  # bounds the exponent
# Discovery that is down may keep its calls waiting as an overloaded one does, and answer 503 after 2 s. It is
# taken to be down where fast calls of all relays fit in the first of these times, and a watch that had been
# established was the last thing seen of it, for the second: a minute, and two calls.
MAX_FLEET_CALLS_MS = 4500.0
ASSUMED_DOWN_MS = 70000.0
# The longest delay where lists are pushed: a local agent is called, and no other relay shares it.
MAX_PUSHED_DELAY_MS = 150.0


def classify_rejection(waited_ms: float) -> DiscoveryFailure:
    """Why a call failed that was reset or rejected after it had waited so long for a response."""
    return DiscoveryFailure.OVERLOADED if waited_ms >= MIN_QUEUED_MS else DiscoveryFailure.UNREACHED


class DiscoveryBackoff:
    """The delays before a relay's calls to discovery.

    They are not in step with those of other relays, and end in time for ``ENDPOINT_LIST_DEADLINE_MS``; they
    grow exponentially only where that deadline is out of reach, as discovery is overloaded.
    """

    def __init__(
        self, relay_count: int, max_poll_interval_ms: float, rng: Random, pushed: bool = False
    ) -> None:
        """``max_poll_interval_ms``: of the settings, 0 where they name none. Delays end within half of it.

        ``pushed``: what the local agent has counts as known whether it was called or not, so no time is lost.
        """
        self._rng = rng
        self._max_poll_interval_ms = max_poll_interval_ms
        max_delay_ms = min(MAX_DELAY_MS, max_poll_interval_ms / 2.0 or MAX_DELAY_MS)
        # Delays of first calls are uniform between 0 and this.
        self._first_call_spread_ms = min(relay_count * SLOW_CALL_MS, max_delay_ms)
        # An overloaded queue takes so long to come down to what is answered, by the typical cost of a call
        # and by the highest. Few relays cannot overload it, and wait no longer for that than for all else.
        typical_excess_ms = relay_count * TYPICAL_CALL_MS - MAX_QUEUE_MS
        slow_excess_ms = relay_count * SLOW_CALL_MS - MAX_QUEUE_MS
        if pushed:
            self._max_delay_ms = MAX_PUSHED_DELAY_MS
            self._overloaded_base_ms = self._max_delay_ms
            self._max_overloaded_delay_ms = self._max_delay_ms
        else:
            self._max_delay_ms = max(MIN_DELAY_LIMIT_MS, min(2.0 * self._first_call_spread_ms, max_delay_ms))
            self._overloaded_base_ms = max(self._max_delay_ms, 1.5 * typical_excess_ms)
            self._max_overloaded_delay_ms = max(
                self._overloaded_base_ms, 1.5 * MAX_OVERLOAD_FACTOR * slow_excess_ms
            )
        self._overload_count = 0  # overloaded calls in a row, less the other failures since
        self._fleet_fits = relay_count * FAST_CALL_MS <= MAX_FLEET_CALLS_MS
        self._assumed_down_until_ms = float("-inf")
        self._watch_lost_at_ms = float("-inf")

    def first_call_delay_ms(self, stale: bool = False) -> float:
        """The delay of a new process's first call.

        ``stale``: an attempt has shown that the list held since the start is out of date.
        """
        spread_ms = self._first_call_spread_ms
        if stale:
            spread_ms = min(spread_ms, MAX_STALE_LIST_DELAY_MS)
        return spread_ms * self._rng.random()

    def retry_delay_ms(self, now_ms: float, failure: DiscoveryFailure) -> float:
        """The delay of the next call after a call, or an established watch, has failed at ``now_ms``."""
        detection_ms = MAX_DETECTION_MS.get(failure, 0.0)
        limit_ms = min(self._max_delay_ms, ENDPOINT_LIST_DEADLINE_MS - MIN_RESPONSE_TIME_MS - detection_ms)
        if failure in (DiscoveryFailure.LOST, DiscoveryFailure.SILENT):
            # All relays may have lost their watches in one instant, with nothing else wrong. But a watch that
            # ends again and again is no better than a call that failed.
            ends_repeatedly = now_ms < self._watch_lost_at_ms + self._max_poll_interval_ms
            self._watch_lost_at_ms = now_ms
            if not ends_repeatedly:
                self._assumed_down_until_ms = now_ms + ASSUMED_DOWN_MS if self._fleet_fits else now_ms
                return min(self._first_call_spread_ms, limit_ms) * self._rng.random()
        elif failure is DiscoveryFailure.OVERLOADED:
            limit_ms = self._record_overload(now_ms, limit_ms)
        else:  # whatever queue there was has had time to come down, and this is how discovery is down
            self._overload_count = max(self._overload_count - 1, 0)
            self._assumed_down_until_ms = now_ms
        return limit_ms * (MIN_JITTER_RATIO + (1.0 - MIN_JITTER_RATIO) * self._rng.random())

    def on_success(self) -> None:
        """A list has come: what is counted of an overloaded discovery is over."""
        self._overload_count = 0

    def _record_overload(self, now_ms: float, limit_ms: float) -> float:
        """The longest delay after an overloaded call; ``limit_ms`` is that after any other failed call.

        One may be chance, as when discovery goes down over its queue: the deadline is met after that still.
        """
        if now_ms < self._assumed_down_until_ms:
            return limit_ms
        if self._overload_count and self._max_overloaded_delay_ms > self._max_delay_ms:
            limit_ms = min(
                self._overloaded_base_ms * 2.0**self._overload_count, self._max_overloaded_delay_ms
            )
        self._overload_count = min(self._overload_count + 1, MAX_OVERLOAD_COUNT)
        return limit_ms
