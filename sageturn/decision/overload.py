"""Overload: learned capacity, estimates of load where no delay is measured, and relief by migration."""

from __future__ import annotations

from collections import Counter
from math import exp, log
from random import Random

from sageturn.decision import actions, quotas
from sageturn.decision.fleet import Fleet
from sageturn.decision.settings import Settings
from sageturn.decision.state import EndpointState

OVERLOAD_DELAY_RATIO = 0.34  # of the shortest message objective: longer delays show an overload
RELIEF_DELAY_RATIO = 0.5  # of the same: an endpoint with longer delays is relieved
DEFAULT_MESSAGE_OBJECTIVE_MS = 100.0
OVERLOAD_MS = 2500.0  # an overloaded endpoint is closed this long; delays are reported each second
CAPACITY_CUT_RATIO = 0.8  # of what it held when it became overloaded is its capacity
CAPACITY_GROWTH_RATIO_PER_S = 0.03  # regained, as a part of it; one connection at least unless scarce
MIN_FLEET_GROWTH_PER_S = 15.0  # connections that an endpoint regains over all relays,
MIN_SCARCE_FLEET_GROWTH_PER_S = 3.0  # and while endpoints are scarce
MIN_RESETS = 2  # in a row, each within RESET_WINDOW_MS of the one before, that show an overload
RESET_WINDOW_MS = 2000.0
RESET_GROWTH_PER_S = 0.3  # connections regained after such an overload, where nothing reports its end
MAX_MIGRATION_COST = 0.1  # at a higher price of migrations there are none
RELIEF_RATIO = 0.1  # of the connections held there, and one over all relays, are migrated at a report,
RELIEF_RATIO_PER_RELAY = 0.01  # and this more for each relay: clients come back through those not notified,
MAX_RELIEF_RATIO = 0.35  # up to this
RELIEF_PER_S = 8.0  # connections over all relays that are migrated off endpoints beyond their quota
UTILIZATION_CHECK_INTERVAL_MS = 1000.0  # of each endpoint, where no delay is measured
SATURATED_UTILIZATION = 0.8  # of what its weight carries, by estimate: it is sent nothing more
HIGH_UTILIZATION = 0.6  # from here on, and at this many times the mean, it is deprioritized,
HIGH_OVER_MEAN = 1.15
RELIEF_UTILIZATION = 0.7  # and from here on it is relieved
RELIEF_OVER_MEAN = 1.3
GROUP_COST = 1.5  # mean loads that an endpoint pays for each group of which it holds any connection
LATEST_SETUP_WEIGHT = 0.5  # of an endpoint's latest set-up in its mean,
USUAL_SETUP_WEIGHT = 0.1  # and in what is usual for all
SETUP_LAG_DECAY_MS = 9000.0


Migrations = list[actions.Action]


class OverloadControl:
    """Closes overloaded endpoints, and returns the migrations that relieve them."""

    def __init__(self, settings: Settings, rng: Random, fleet: Fleet) -> None:
        self._relay_count = settings.relay_count
        self._may_migrate = settings.migration_cost <= MAX_MIGRATION_COST
        self._rng = rng
        self._fleet = fleet
        objective_ms = settings.shortest_message_objective_ms(DEFAULT_MESSAGE_OBJECTIVE_MS)
        self._overload_delay_ms = objective_ms * OVERLOAD_DELAY_RATIO
        self._relief_delay_ms = objective_ms * RELIEF_DELAY_RATIO
        self._next_quota_relief_ms = 0.0
        self._loads = quotas.RunningMean()  # of all connections that were reported
        self._usual_setup_log = 0.0  # decaying mean of the logarithms of set-up times at all endpoints

    def mark_overloaded(self, now_ms: float, endpoint: EndpointState, held_count: int) -> None:
        """It counts as full until it is well, and has then capacity for fewer than it held."""
        if not endpoint.overloaded_until_ms or now_ms >= endpoint.overloaded_until_ms:
            # Rounded by chance, or one connection at each of many relays would always be admitted again.
            endpoint.capacity = min(endpoint.capacity, held_count * CAPACITY_CUT_RATIO)
            endpoint.capacity_rounding = self._rng.random()
        endpoint.overloaded_until_ms = now_ms + OVERLOAD_MS
        endpoint.capacity_updated_ms = now_ms
        self.reevaluate(now_ms, endpoint)

    def _follow_measurement(self, now_ms: float, endpoint: EndpointState, is_overloaded: bool) -> None:
        if is_overloaded:
            self.mark_overloaded(now_ms, endpoint, endpoint.open_count)
        elif endpoint.overloaded_until_ms > now_ms:
            endpoint.overloaded_until_ms = now_ms
            self.reevaluate(now_ms, endpoint)

    def reevaluate(self, now_ms: float, endpoint: EndpointState) -> None:
        """Let its capacity grow back, and close or open it accordingly."""
        is_overloaded = now_ms < endpoint.overloaded_until_ms
        if endpoint.capacity != float("inf") and not is_overloaded:
            growth_per_s = self._capacity_growth_per_s(endpoint)
            endpoint.capacity += growth_per_s * max(0.0, now_ms - endpoint.capacity_updated_ms) / 1000.0
            endpoint.capacity_updated_ms = now_ms
        self._fleet.set_closed(endpoint, is_overloaded or endpoint.is_at_capacity())

    def _capacity_growth_per_s(self, endpoint: EndpointState) -> float:
        if endpoint.consecutive_resets >= MIN_RESETS and not self._fleet.measures_delay():
            return RESET_GROWTH_PER_S  # nothing reports that it is well again
        # While endpoints are scarce, waiting clients fill at once what all relays open up together.
        fleet_growth = MIN_SCARCE_FLEET_GROWTH_PER_S if self._fleet.is_scarce() else MIN_FLEET_GROWTH_PER_S
        min_growth = min(1.0, fleet_growth / self._fleet.sharing_relays())
        return max(min_growth, CAPACITY_GROWTH_RATIO_PER_S * endpoint.capacity)

    def record_reset(self, now_ms: float, endpoint: EndpointState) -> None:
        """An overloaded endpoint breaks connections: who holds none for long sees no other sign of it."""
        is_repeated = now_ms < endpoint.last_reset_ms + RESET_WINDOW_MS
        endpoint.consecutive_resets = endpoint.consecutive_resets + 1 if is_repeated else 1
        endpoint.last_reset_ms = now_ms
        if endpoint.consecutive_resets >= MIN_RESETS or self._fleet.measures_delay():
            self.mark_overloaded(now_ms, endpoint, endpoint.open_count + 1)
            endpoint.capacity = min(endpoint.capacity, max(1.0, endpoint.open_count * CAPACITY_CUT_RATIO))

    def record_delay(self, now_ms: float, endpoint: EndpointState, delay_ms: float) -> Migrations:
        """A message took so long on a connection there."""
        self._follow_measurement(now_ms, endpoint, delay_ms > self._overload_delay_ms)
        is_relieved = delay_ms > self._relief_delay_ms and self._may_migrate
        return self.relieve(endpoint) if is_relieved else []

    def record_report(self, now_ms: float, endpoint: EndpointState, report: dict[str, float]) -> Migrations:
        """What it calls for; delays that connections measure themselves come before it."""
        if not report or self._fleet.settings.reports_delay:
            return []
        verdict = self._fleet.health_checks.record_report(now_ms, endpoint.name, report)
        self._follow_measurement(now_ms, endpoint, verdict.is_overloaded)
        if not verdict.excess_ratio or not self._may_migrate:
            return []
        excess = len(endpoint.established) * verdict.excess_ratio
        return self.relieve(endpoint, int(excess + self._rng.random()))

    def record_load(self, now_ms: float, endpoint: EndpointState, request_id: int, load: float) -> Migrations:
        """The load of one connection, which stands in where no delay is measured."""
        request = endpoint.established.get(request_id)
        if request is None or self._fleet.measures_delay():
            return []
        endpoint.record_load(request, load)
        self._loads.add(load)
        migrations = self._relieve_quota(now_ms, endpoint)
        return migrations + self.check_utilization(now_ms, endpoint)

    def check_utilization(self, now_ms: float, endpoint: EndpointState) -> Migrations:
        """One that is fuller than the others is overloaded; all of them cannot be."""
        if now_ms < endpoint.next_utilization_check_ms or not endpoint.ready:
            return []
        endpoint.next_utilization_check_ms = now_ms + UTILIZATION_CHECK_INTERVAL_MS
        ready = self._fleet.ready
        utilization = self._utilization(endpoint)
        over_mean = utilization * len(ready) / (sum(map(self._utilization, ready)) or 1.0)
        even_count = endpoint.effective_weight / self._fleet.total_weight * self._fleet.open_count
        over_mean = 1.0 + (over_mean - 1.0) * min(1.0, 2.0 * quotas.count_confidence(even_count))
        if utilization > SATURATED_UTILIZATION:
            # Past this the messages of all its clients are late: it is better to serve fewer of them.
            endpoint.saturated_until_ms = now_ms + OVERLOAD_MS
        if utilization <= HIGH_UTILIZATION or over_mean <= HIGH_OVER_MEAN:
            return []
        endpoint.deprioritized_until_ms = now_ms + OVERLOAD_MS
        is_relieved = utilization > RELIEF_UTILIZATION and over_mean > RELIEF_OVER_MEAN
        return self.relieve(endpoint) if is_relieved and self._may_migrate else []

    def _utilization(self, endpoint: EndpointState) -> float:
        """Part of its weight that loads take.

        Of each other relay it is taken to hold a number between our own and the one that its weight calls
        for, all of mean load: a few heavy connections of ours say nothing about theirs.
        """
        even_count = endpoint.effective_weight / self._fleet.total_weight * self._fleet.open_count
        confidence = quotas.count_confidence(even_count)
        others = (self._relay_count - 1) * (even_count + confidence * (endpoint.open_count - even_count))
        unreported = endpoint.open_count - endpoint.reported_count + others
        unreported += GROUP_COST * len(endpoint.group_counts)
        unreported_load = unreported * self._loads.total / max(1.0, self._loads.count)
        return (endpoint.reported_load + unreported_load) / (1000.0 * endpoint.effective_weight)

    def _relieve_quota(self, now_ms: float, endpoint: EndpointState) -> Migrations:
        """Beyond its quota clients are migrated one by one, at a pace that all relays share."""
        is_over = endpoint.open_count >= endpoint.max_connections + endpoint.rounding_offset + 1.0
        if not is_over or not self._may_migrate or now_ms < self._next_quota_relief_ms:
            return []
        pause_ms = (500.0 + 1000.0 * self._rng.random()) * self._relay_count
        self._next_quota_relief_ms = now_ms + pause_ms / RELIEF_PER_S
        return self.relieve(endpoint, 1)

    def relieve(self, endpoint: EndpointState, count: int | None = None) -> Migrations:
        """Migrate some clients off it; without a count, a part of those it holds."""
        group_sizes = Counter(request.group for request in endpoint.established.values())
        # The smallest group first, as the last one to leave takes the group's cost along; then the heaviest,
        # unless endpoints are scarce: who is migrated then may stay out, and these are the worst to lose.
        load_factor = 0.0 if self._fleet.is_scarce() else -1.0
        now_ms = self._fleet.now_ms
        candidates = [r for r in endpoint.established.values() if r.migration_exempt_until_ms <= now_ms]
        candidates.sort(key=lambda request: (group_sizes[request.group], load_factor * request.load))
        if count is None:
            # All relays get the report: where many hold one or two each, one each would empty the endpoint.
            ratio = min(MAX_RELIEF_RATIO, RELIEF_RATIO + RELIEF_RATIO_PER_RELAY * self._relay_count)
            count = int(len(candidates) * ratio + 1.0 / self._fleet.sharing_relays() + self._rng.random())
        for request in candidates[:count]:
            endpoint.begin_migration(request)
        return [actions.MigrateConnection(request.id) for request in candidates[:count]]

    def record_setup_time(self, now_ms: float, endpoint: EndpointState, took_ms: float) -> None:
        """Learn the speed of its kind of machine and, where no delay is measured, how slow it is itself."""
        took_log = log(took_ms)
        self._fleet.machine_speeds.learn(endpoint.kind, took_log)
        # Against what was usual just now: a slow store slows down the set-ups at all endpoints alike.
        usual = self._usual_setup_log
        self._usual_setup_log += USUAL_SETUP_WEIGHT * (took_log - usual) if usual else took_log
        if not self._fleet.measures_delay():
            earlier = self._usual_setup_log + self.setup_lag(endpoint) - took_log
            endpoint.setup_time_log = took_log + (1.0 - LATEST_SETUP_WEIGHT) * earlier
            endpoint.setup_time_updated_ms = now_ms

    def setup_lag(self, endpoint: EndpointState) -> float:
        """Its log set-up time over the usual. It decays, or a once slow endpoint would not be tried again."""
        if not endpoint.setup_time_log:
            return 0.0
        decay = exp((endpoint.setup_time_updated_ms - self._fleet.now_ms) / SETUP_LAG_DECAY_MS)
        return (endpoint.setup_time_log - self._usual_setup_log) * decay
