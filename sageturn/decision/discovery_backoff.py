"""When a relay calls discovery, again too: backoff with jitter, by what the call before has cost there.

Pure: no clock, no I/O; chance is passed in. All set times on the way to the news stand here, those that the
client waits too, since their sum is bounded: docs/design/discovery-calls.md adds them up, path by path.
"""

from __future__ import annotations

from random import Random

from sageturn.decision import DiscoveryFailure

NEWS_MS = 6000.0  # what discovery has counts as told by then, once it can be reached
# Set times of the client. An empty line comes every 2 s, so one that is missing shows by then, with 1.2 s for
# a busy core; discovery itself fails a call that has waited 3 s, and half a second is for the way.
CONNECT_MS, ANSWER_MS, SILENCE_MS = 1000.0, 3500.0, 3200.0
SPENT_MS = {
    DiscoveryFailure.UNREACHED: CONNECT_MS,
    DiscoveryFailure.OVERLOADED: 3000.0,
    DiscoveryFailure.UNANSWERED: ANSWER_MS,
    DiscoveryFailure.SILENT: SILENCE_MS,
}
# Waits end at least 3.2 s before the news are due: as discovery fails what has waited 3 s, a call that is
# placed by then is answered in time or not at all.
WAIT_MOST_MS = 2800.0
# Where the failure itself took longer, at least so much is left for the answer.
ROOM_MS = 1000.0
DOUBTED_MS = NEWS_MS - ROOM_MS - SILENCE_MS  # first calls, once the list held is seen to be out of date
WAIT_LEAST_MS = 1050.0  # the longest wait of a lone relay after a failed call: it does not hammer either
JITTER_LEAST = 1.0 / 3.0  # of the longest wait: waits are even between that part and the whole
# Discovery handles one call after another. Nothing tells a relay what one costs it: 48 answers in a second
# were seen, single ones after 43 ms, and 130 ms each in a queue that was overloaded. Calls are spread for
# the slowest while there is time for that.
USUAL_CALL_MS, CALL_MS, SLOW_CALL_MS = 21.0, 43.0, 130.0
QUEUE_MS = 3000.0  # a longer queue makes calls fail, and discovery works on those too
QUEUED_MS = 1000.0  # what fails sooner was never in that queue: discovery was down, or turned it away
OVERLOADED_MOST = 2.0  # of the time beyond the queue that slow calls of all would take: the mean wait at last
# One that is down may keep its calls waiting as an overloaded one does, and answer 503 after 2 s. It is taken
# to be down where calls as quick as usual leave time for all, and a watch that stood was the last thing had.
FIT_MS, DOWN_MS = 4500.0, 70000.0  # for so long: a minute, and two calls
PUSHED_MS = 150.0  # the longest wait where lists are pushed: an agent at hand is asked, and shared by nobody


def unserved(waited_ms: float) -> DiscoveryFailure:
    """Why a call failed, reset or turned away, that had waited so long for an answer."""
    return DiscoveryFailure.OVERLOADED if waited_ms >= QUEUED_MS else DiscoveryFailure.UNREACHED


class CallBackoff:
    """Not in step with the others, in time for the news, and exponential only where that is out of reach."""

    def __init__(self, relays: int, must_ask_ms: float, rng: Random, pushed: bool = False) -> None:
        """``must_ask_ms``: of the settings, 0 where they name none. Waits end within half of it as well.

        ``pushed``: what the agent has counts as told whether it was asked or not, so no time is lost.
        """
        self._rng, self._again_ms = rng, must_ask_ms
        most_ms = min(WAIT_MOST_MS, must_ask_ms / 2.0 or WAIT_MOST_MS)
        self._spread_ms = min(relays * SLOW_CALL_MS, most_ms)
        self._wait_ms = PUSHED_MS if pushed else max(WAIT_LEAST_MS, min(2.0 * self._spread_ms, most_ms))
        # So long it takes an overloaded queue to come down to what is answered: by the usual cost of a call,
        # and by the highest. Few relays cannot overbook it, and wait no longer for that than for anything.
        usual_ms, slow_ms = (relays * cost_ms - QUEUE_MS for cost_ms in (CALL_MS, SLOW_CALL_MS))
        self._queue_ms = self._wait_ms if pushed else max(self._wait_ms, 1.5 * usual_ms)
        self._top_ms = self._wait_ms if pushed else max(self._queue_ms, 1.5 * OVERLOADED_MOST * slow_ms)
        self._overloaded = 0  # times in a row, less what has failed otherwise since
        self._fits, self._down_until_ms = relays * USUAL_CALL_MS <= FIT_MS, float("-inf")
        self._lost_ms = float("-inf")

    def first_ms(self, doubted: bool = False) -> float:
        """Of a new process. ``doubted``: a call has shown that the list it holds is out of date."""
        return min(self._spread_ms, DOUBTED_MS if doubted else self._spread_ms) * self._rng.random()

    def wait_ms(self, now_ms: float, failure: DiscoveryFailure) -> float:
        """After a call, or a watch that stood, has ended so."""
        most_ms = min(self._wait_ms, NEWS_MS - ROOM_MS - SPENT_MS.get(failure, 0.0))
        if failure in (DiscoveryFailure.LOST, DiscoveryFailure.SILENT):
            # All may have lost theirs in one instant, with nothing else wrong. But what ends again and again
            # is no better than a call that failed.
            soon, self._lost_ms = now_ms >= self._lost_ms + self._again_ms, now_ms
            if soon:
                self._down_until_ms = now_ms + DOWN_MS if self._fits else now_ms
                return min(self._spread_ms, most_ms) * self._rng.random()
        elif failure is DiscoveryFailure.OVERLOADED:
            # Once may be chance, as when discovery goes down over its queue: the news come in time then.
            if now_ms >= self._down_until_ms:
                if self._overloaded and self._top_ms > self._wait_ms:
                    most_ms = min(self._queue_ms * 2.0**self._overloaded, self._top_ms)
                self._overloaded = min(self._overloaded + 1, 20)
        else:  # whatever queue there was has had time to come down, and this is how it is down
            self._overloaded = max(self._overloaded - 1, 0)
            self._down_until_ms = now_ms
        return most_ms * (JITTER_LEAST + (1.0 - JITTER_LEAST) * self._rng.random())

    def succeeded(self) -> None:
        self._overloaded = 0
