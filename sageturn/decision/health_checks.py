"""Schedule of health checks, and the verdict on the load reports that they return.

The module is pure: it has no clock and does no I/O, and its randomness is passed in.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from random import Random

from sageturn.decision import actions
from sageturn.decision.jitter import jitter_factor
from sageturn.decision.load_reports import PROCESSOR_FIELD, QUEUED_WORK_FIELD, UTILIZATION_FIELD
from sageturn.decision.settings import ReportSource, Settings

HEALTH_CHECK_BUDGET_RATIO = 0.02  # part of each request's value that may be spent on health checks
CHECK_INTERVAL_MS = 1000.0  # mean interval of checks of an endpoint, which updates its report as often
MIN_FLEET_INTERVAL_MS = 100.0  # shortest mean interval of checks of one endpoint by all relays together
SCHEDULING_INTERVAL_MS = 250.0  # interval of the search for endpoints that are due
REPORT_TTL_MS = 5000.0  # age at which the last report says nothing about the load any more
OVERLOADED_UTILIZATION = 0.75  # utilization above which a further connection makes all messages late
RELIEF_UTILIZATION = 0.8  # utilization above which clients are migrated off an endpoint
TARGET_UTILIZATION = 0.7  # utilization to which an endpoint is relieved
RELIEF_INTERVAL_MS = 1000.0  # time until a report shows the effect of the last migrations
TIMER_TAG = "probe"
LOAD_FIELDS = {UTILIZATION_FIELD, QUEUED_WORK_FIELD, PROCESSOR_FIELD}  # fields that a verdict is based on


@dataclass(frozen=True, slots=True)
class LoadVerdict:
    """Verdict on a load report."""

    is_overloaded: bool  # the endpoint should be sent nothing more
    excess_ratio: float  # part of each relay's connections to it that should be migrated


class HealthCheckScheduler:
    """Scheduler of one relay's health checks. Times are milliseconds of one monotonic clock."""

    def __init__(self, settings: Settings, max_queue_ms: float, rng: Random) -> None:
        """Create the schedule. It stays empty where connections measure delays: reports would only add cost.

        Args:
            settings: The balancer's settings.
            max_queue_ms: An endpoint whose work is queued for longer is overloaded.
            rng: The source of the jitter that spreads the checks of relays.
        """
        is_useful = not settings.reports_delay and bool(LOAD_FIELDS & set(settings.report_fields))
        self._is_enabled = is_useful and settings.probes and settings.reports != ReportSource.NONE
        cost = settings.health_check_cost
        self._credit_per_request = HEALTH_CHECK_BUDGET_RATIO / cost if cost else float("inf")
        self._interval_ms = max(CHECK_INTERVAL_MS, MIN_FLEET_INTERVAL_MS * settings.relay_count)
        self._max_queue_ms = max_queue_ms
        self._rng = rng
        self._credit = 0.0  # checks that may be made; each request adds a part of one
        self._max_endpoint_count = 0  # largest number listed so far
        self._next_check_ms: dict[str, float] = {}  # next check of each endpoint
        self._next_relief_ms: dict[str, float] = {}  # earliest next migrations of each endpoint
        self._last_report_ms = -REPORT_TTL_MS

    def on_start(self) -> list[actions.Action]:
        """Return the first timer. Call this when the relay starts with the list that it held before."""
        if not self._is_enabled:
            return []
        return [actions.SetTimer(SCHEDULING_INTERVAL_MS * self._rng.random(), TIMER_TAG)]

    def on_timer(self, now_ms: float, endpoints: Iterable[str]) -> list[actions.Action]:
        """Return the checks that are due, and the next timer.

        Args:
            now_ms: The time of the timer.
            endpoints: The names of all endpoints that are listed ready, ejected or not.
        """
        checks = [actions.CheckHealth(name) for name in self.take_due_endpoints(now_ms, endpoints)]
        return [*checks, actions.SetTimer(SCHEDULING_INTERVAL_MS, TIMER_TAG)]

    def has_recent_reports(self, now_ms: float) -> bool:
        """Return True if reports are recent enough to replace the relay's own estimates."""
        return now_ms < self._last_report_ms + REPORT_TTL_MS

    def record_request(self) -> None:
        """Add the credit of a request that is not a client's retry."""
        self._credit = min(float(self._max_endpoint_count), self._credit + self._credit_per_request)

    def take_due_endpoints(self, now_ms: float, endpoints: Iterable[str]) -> list[str]:
        """Return the endpoints to check now, the most overdue first, as far as the credit allows.

        Each new endpoint adds credit for one check.
        """
        next_check_ms = {name: self._next_check_ms.get(name, now_ms) for name in endpoints}
        self._next_check_ms = next_check_ms
        self._next_relief_ms = {
            name: next_ms for name, next_ms in self._next_relief_ms.items() if name in next_check_ms
        }
        self._credit += max(0, len(next_check_ms) - self._max_endpoint_count)
        self._max_endpoint_count = max(self._max_endpoint_count, len(next_check_ms))
        names = [
            name
            for name in sorted(next_check_ms, key=next_check_ms.__getitem__)
            if next_check_ms[name] <= now_ms
        ]
        names = names[: int(min(self._credit, len(names)))]
        for name in names:
            self._credit -= 1.0
            next_check_ms[name] = now_ms + self._interval_ms * jitter_factor(self._rng)
        return names

    def exclude_endpoint(self, endpoint: str) -> None:
        """Stop checking an endpoint that refuses health checks, for as long as it is listed."""
        self._next_check_ms[endpoint] = float("inf")

    def record_report(self, now_ms: float, endpoint: str, report: Mapping[str, float]) -> LoadVerdict:
        """Return the verdict on an endpoint's load report.

        All relays get the same report, and each migrates the same part of its own connections.
        """
        self._last_report_ms = now_ms
        utilization = report.get(UTILIZATION_FIELD, report.get(PROCESSOR_FIELD, 0.0))
        queue_ms = report.get(QUEUED_WORK_FIELD, 0.0) * 1000.0
        excess_ratio = 0.0
        if utilization > RELIEF_UTILIZATION and now_ms >= self._next_relief_ms.get(endpoint, now_ms):
            excess_ratio = (utilization - TARGET_UTILIZATION) / utilization
            self._next_relief_ms[endpoint] = now_ms + RELIEF_INTERVAL_MS
        is_overloaded = utilization > OVERLOADED_UTILIZATION or queue_ms > self._max_queue_ms
        return LoadVerdict(is_overloaded, excess_ratio)
