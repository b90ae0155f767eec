"""When to ask endpoints for load reports, and what a report calls for. Pure: no clock, no I/O."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from random import Random

from sageturn.decision import actions
from sageturn.decision.settings import Settings

# A health check costs a part of the goal, given for one check a request: of a relay's requests each pays for
# so much of it, and no more is spent. What is served in the goal's worst ten seconds, where reports save
# most, weighs far more than this.
SPEND_RATIO = 0.02
CHECK_INTERVAL_MS = 1000.0  # endpoints make a new report about this often: asked sooner, they repeat the last
MIN_FLEET_INTERVAL_MS = 100.0  # between two checks of one endpoint by all relays together
SCHEDULING_INTERVAL_MS = 250.0  # endpoints that are due are looked for this often
REPORT_TTL_MS = 5000.0  # without any report for so long, there is nothing to go by
OVERLOADED_UTILIZATION = 0.75  # past it every further connection makes the messages of all late
RELIEF_UTILIZATION = 0.8  # past it clients are migrated off an endpoint,
TARGET_UTILIZATION = 0.7  # until it is down to this
RELIEF_INTERVAL_MS = 1000.0  # no report shows sooner what the last migrations did
TIMER_MARK = "probe"
LOAD_FIELDS = {"x0", "x1", "cpu"}  # of a report: utilization, seconds of queued work, processor use


@dataclass(frozen=True, slots=True)
class LoadVerdict:
    """What a load report calls for."""

    is_overloaded: bool  # the endpoint should be sent nothing more
    excess_ratio: float  # of each relay's connections there, what should be migrated off it


class HealthCheckScheduler:
    """One relay's health checks. Times are milliseconds of one clock that never goes back."""

    def __init__(self, settings: Settings, max_queue_ms: float, rng: Random) -> None:
        """``max_queue_ms``: work queued for longer makes messages late.

        Where connections show how long messages take, reports would add only their price: nothing is asked.
        """
        is_useful = not settings.reports_delay and bool(LOAD_FIELDS & set(settings.report_fields))
        self._is_enabled = is_useful and settings.probes and settings.reports != "none"
        cost = settings.health_check_cost
        self._credit_per_request = SPEND_RATIO / cost if cost else float("inf")
        self._interval_ms = max(CHECK_INTERVAL_MS, MIN_FLEET_INTERVAL_MS * settings.relay_count)
        self._max_queue_ms = max_queue_ms
        self._rng = rng
        self._credit = 0.0  # checks that requests have paid for
        self._max_endpoint_count = 0  # listed at any time so far
        self._due_ms: dict[str, float] = {}  # by endpoint: when it is to be checked next
        self._next_relief_ms: dict[str, float] = {}  # by endpoint: when clients may be migrated off it again
        self._last_report_ms = -REPORT_TTL_MS

    def on_start(self) -> list[actions.Action]:
        """The relay has started, with the list that it last held."""
        if not self._is_enabled:
            return []
        return [actions.SetTimer(SCHEDULING_INTERVAL_MS * self._rng.random(), TIMER_MARK)]

    def on_timer(self, now_ms: float, endpoints: Iterable[str]) -> list[actions.Action]:
        """``endpoints``: all that are listed ready, those that are ejected as well."""
        checks = [actions.CheckHealth(name) for name in self.take_due(now_ms, endpoints)]
        return [*checks, actions.SetTimer(SCHEDULING_INTERVAL_MS, TIMER_MARK)]

    def has_recent_reports(self, now_ms: float) -> bool:
        """Reports come in, so that they can be gone by instead of a relay's own estimates."""
        return now_ms < self._last_report_ms + REPORT_TTL_MS

    def record_request(self) -> None:
        """A request came that is not a client's retry: the price counts those."""
        self._credit = min(float(self._max_endpoint_count), self._credit + self._credit_per_request)

    def take_due(self, now_ms: float, endpoints: Iterable[str]) -> list[str]:
        """Of those listed, whom to check now: the longest waiting first, as far as requests have paid.

        Each may be checked once before any has.
        """
        due_ms = {name: self._due_ms.get(name, now_ms) for name in endpoints}
        self._due_ms = due_ms
        self._next_relief_ms = {name: at for name, at in self._next_relief_ms.items() if name in due_ms}
        self._credit += max(0, len(due_ms) - self._max_endpoint_count)
        self._max_endpoint_count = max(self._max_endpoint_count, len(due_ms))
        names = [name for name in sorted(due_ms, key=due_ms.__getitem__) if due_ms[name] <= now_ms]
        names = names[: int(min(self._credit, len(names)))]
        for name in names:
            self._credit -= 1.0
            due_ms[name] = now_ms + self._interval_ms * (0.75 + 0.5 * self._rng.random())
        return names

    def exclude_endpoint(self, endpoint: str) -> None:
        """It answers no health checks: it is not checked again while it is listed."""
        self._due_ms[endpoint] = float("inf")

    def record_report(self, now_ms: float, endpoint: str, report: Mapping[str, float]) -> LoadVerdict:
        """All relays read the same, and each migrates that part of its own: together it is the excess."""
        self._last_report_ms = now_ms
        utilization = report.get("x0", report.get("cpu", 0.0))
        queue_ms = report.get("x1", 0.0) * 1000.0
        excess_ratio = 0.0
        if utilization > RELIEF_UTILIZATION and now_ms >= self._next_relief_ms.get(endpoint, now_ms):
            excess_ratio = (utilization - TARGET_UTILIZATION) / utilization
            self._next_relief_ms[endpoint] = now_ms + RELIEF_INTERVAL_MS
        is_overloaded = utilization > OVERLOADED_UTILIZATION or queue_ms > self._max_queue_ms
        return LoadVerdict(is_overloaded, excess_ratio)
