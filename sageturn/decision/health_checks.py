"""When to ask servers for load reports, and what a report calls for. Pure: no clock, no I/O."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from random import Random

from sageturn.decision import Settings

# A probe costs a part of the goal, told for one probe a request: of a relay's requests each pays for so much
# of it, and no more is spent. What is served in the goal's worst ten seconds, where reports save most, weighs
# far more than this.
SPEND = 0.02
EACH_MS = 1000.0  # servers make a new report about this often: asked sooner, they tell the same again
HOST_MS = 100.0  # all relays together ask one server no more often than this
LOOK_MS = 250.0  # servers due to be asked are looked for this often
KEPT_MS = 5000.0  # without any report for so long, there is nothing to go by
FULL = 0.75  # of what a server can do: past it every further connection makes the messages of all late
OVER, EVEN = 0.8, 0.7  # past the first, clients are moved off it until it is down to the second
EASE_MS = 1000.0  # and the next ones after so long: no report tells sooner what that did
CARRIED = {"x0", "x1", "cpu"}  # what of a report is gone by


@dataclass(frozen=True, slots=True)
class Verdict:
    """``late``: it should take nothing more. ``part``: of each relay's connections there, what should go."""

    late: bool
    part: float


class HealthCheckScheduler:
    """One relay's probes. Times are milliseconds of one clock that never goes back."""

    def __init__(self, settings: Settings, late_ms: float, rng: Random) -> None:
        """``late_ms``: work piled up for longer makes messages late.

        Where lines tell how long messages take, reports would add only their price: nothing is asked there.
        """
        useful = not settings.reports_delay and bool(CARRIED & set(settings.report_fields))
        self.asks = useful and settings.probes and settings.reports != "none"
        self._paid = SPEND / settings.health_check_cost if settings.health_check_cost else float("inf")
        self._each_ms = max(EACH_MS, HOST_MS * settings.relay_count)
        self._late_ms, self._rng = late_ms, rng
        self._credit, self._most = 0.0, 0
        self._due_ms: dict[str, float] = {}  # by server: when it is to be asked next
        self._ease_ms: dict[str, float] = {}  # when clients may be moved off it again
        self._heard_ms = -KEPT_MS

    def seen(self, now_ms: float) -> bool:
        """Reports come in, so that they can be gone by instead of a relay's own guesses."""
        return now_ms < self._heard_ms + KEPT_MS

    def paid(self) -> None:
        """A request came that is not a client's retry: the price counts those."""
        self._credit = min(float(self._most), self._credit + self._paid)

    def due(self, now_ms: float, endpoints: Iterable[str]) -> list[str]:
        """Of those listed, whom to ask now: the longest waiting first, as far as requests have paid.

        Each may be asked once before any has.
        """
        due_ms = {name: self._due_ms.get(name, now_ms) for name in endpoints}
        self._due_ms = due_ms
        self._ease_ms = {name: at for name, at in self._ease_ms.items() if name in due_ms}
        self._credit += max(0, len(due_ms) - self._most)
        self._most = max(self._most, len(due_ms))
        asked = [name for name in sorted(due_ms, key=due_ms.__getitem__) if due_ms[name] <= now_ms]
        asked = asked[: int(min(self._credit, len(asked)))]
        for name in asked:
            self._credit -= 1.0
            due_ms[name] = now_ms + self._each_ms * (0.75 + 0.5 * self._rng.random())
        return asked

    def refused(self, endpoint: str) -> None:
        """It takes no probes: it is not asked again while it is listed."""
        self._due_ms[endpoint] = float("inf")

    def heard(self, now_ms: float, endpoint: str, report: Mapping[str, float]) -> Verdict:
        """All relays read the same, and each moves that part of its own: together it is what is over."""
        self._heard_ms = now_ms
        fill = report.get("x0", report.get("cpu", 0.0))
        part = 0.0
        if fill > OVER and now_ms >= self._ease_ms.get(endpoint, now_ms):
            part, self._ease_ms[endpoint] = (fill - EVEN) / fill, now_ms + EASE_MS
        return Verdict(fill > FULL or report.get("x1", 0.0) * 1000.0 > self._late_ms, part)
