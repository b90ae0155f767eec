"""Overload control: learns capacities, and estimates utilization where no delay is measured."""

from __future__ import annotations

from random import Random

from sageturn.decision import quotas
from sageturn.decision.fleet import Fleet
from sageturn.decision.relief import LoadRelief, Migrations
from sageturn.decision.settings import Settings
from sageturn.decision.state import EndpointState

DEFAULT_MESSAGE_OBJECTIVE_MS = 100.0
OVERLOAD_DELAY_RATIO = 0.34  # delay over the shortest message objective that signals an overload
RELIEF_DELAY_RATIO = 0.5  # delay over the shortest message objective that requires relief
OVERLOAD_MS = 2500.0  # time that an overload signal is valid; delays are reported each second
CAPACITY_CUT_RATIO = 0.8  # capacity over the connections that an endpoint held when it became overloaded
CAPACITY_GROWTH_RATIO_PER_S = 0.03  # part of the capacity that is regained each second
MIN_FLEET_GROWTH_PER_S = 15.0  # connections of an endpoint's capacity that all relays together regain
MIN_SCARCE_FLEET_GROWTH_PER_S = 3.0  # the same bound while endpoints are scarce
MIN_RESETS = 2  # consecutive resets that signal an overload
RESET_WINDOW_MS = 2000.0  # longest time between two consecutive resets
RESET_GROWTH_PER_S = 0.3  # connections of capacity regained after resets, where no delay is measured
UTILIZATION_CHECK_INTERVAL_MS = 1000.0  # interval of the checks of an endpoint, where no delay is measured
SATURATED_UTILIZATION = 0.8  # utilization above which an endpoint is sent nothing
HIGH_UTILIZATION = 0.6  # utilization above which an endpoint may be deprioritized
HIGH_RATIO_TO_MEAN = 1.15  # utilization over the fleet's mean above which an endpoint is deprioritized
RELIEF_UTILIZATION = 0.7  # utilization above which a deprioritized endpoint may be relieved
RELIEF_RATIO_TO_MEAN = 1.3  # utilization over the fleet's mean above which an endpoint is relieved
GROUP_COST = 1.5  # load of each group on an endpoint that holds any of it, in mean connection loads


class OverloadControl:
    """Detector of overloaded endpoints, which sheds their load. Methods return the required migrations."""

    def __init__(self, settings: Settings, rng: Random, fleet: Fleet, relief: LoadRelief) -> None:
        self._relay_count = settings.relay_count
        self._rng = rng
        self._fleet = fleet
        self._relief = relief
        objective_ms = settings.shortest_message_objective_ms(DEFAULT_MESSAGE_OBJECTIVE_MS)
        self._overload_delay_ms = objective_ms * OVERLOAD_DELAY_RATIO
        self._relief_delay_ms = objective_ms * RELIEF_DELAY_RATIO
        self._reported_loads = quotas.RunningMean()  # mean of all reported loads

    def mark_overloaded(self, now_ms: float, endpoint: EndpointState, connection_count: int) -> None:
        """Shed the endpoint's load for ``OVERLOAD_MS``; cut its capacity unless it was overloaded already.

        Args:
            now_ms: The time of the event.
            endpoint: The overloaded endpoint.
            connection_count: Connections that it held when it became overloaded.
        """
        overload = endpoint.overload
        if overload.overloaded_until_ms is None or now_ms >= overload.overloaded_until_ms:
            # Without random rounding, each of many relays would always be allowed one connection again.
            overload.capacity = min(overload.capacity, connection_count * CAPACITY_CUT_RATIO)
            overload.capacity_rounding = self._rng.random()
        overload.overloaded_until_ms = now_ms + OVERLOAD_MS
        overload.capacity_updated_ms = now_ms
        self.reevaluate(now_ms, endpoint)

    def _apply_measurement(self, now_ms: float, endpoint: EndpointState, is_overloaded: bool) -> None:
        """Handle a measurement that shows whether the endpoint is overloaded now."""
        overload = endpoint.overload
        if is_overloaded:
            self.mark_overloaded(now_ms, endpoint, endpoint.connections.open_count)
        elif overload.overloaded_until_ms is not None and overload.overloaded_until_ms > now_ms:
            overload.overloaded_until_ms = now_ms
            self.reevaluate(now_ms, endpoint)

    def reevaluate(self, now_ms: float, endpoint: EndpointState) -> None:
        """Regrow the endpoint's capacity, and update whether its load is shed."""
        overload = endpoint.overload
        until_ms = overload.overloaded_until_ms
        is_overloaded = until_ms is not None and now_ms < until_ms
        if overload.capacity != float("inf") and not is_overloaded:
            growth_per_s = self._capacity_growth_per_s(endpoint)
            overload.capacity += growth_per_s * max(0.0, now_ms - overload.capacity_updated_ms) / 1000.0
            overload.capacity_updated_ms = now_ms
        self._fleet.set_shedding(endpoint, is_overloaded or endpoint.is_at_capacity())

    def _capacity_growth_per_s(self, endpoint: EndpointState) -> float:
        overload = endpoint.overload
        if overload.consecutive_resets >= MIN_RESETS and not self._fleet.measures_delay():
            return RESET_GROWTH_PER_S
        # While endpoints are scarce, waiting clients use up at once what all relays together admit.
        fleet_growth = MIN_SCARCE_FLEET_GROWTH_PER_S if self._fleet.is_scarce() else MIN_FLEET_GROWTH_PER_S
        min_growth = min(1.0, fleet_growth / self._fleet.sharing_relays())
        return max(min_growth, CAPACITY_GROWTH_RATIO_PER_S * overload.capacity)

    def record_reset(self, now_ms: float, endpoint: EndpointState) -> None:
        """Handle the reset of an established connection, which is an overload signal."""
        overload = endpoint.overload
        is_consecutive = now_ms < overload.last_reset_ms + RESET_WINDOW_MS
        overload.consecutive_resets = overload.consecutive_resets + 1 if is_consecutive else 1
        overload.last_reset_ms = now_ms
        if overload.consecutive_resets >= MIN_RESETS or self._fleet.measures_delay():
            open_count = endpoint.connections.open_count
            self.mark_overloaded(now_ms, endpoint, open_count + 1)
            overload.capacity = min(overload.capacity, max(1.0, open_count * CAPACITY_CUT_RATIO))

    def record_delay(self, now_ms: float, endpoint: EndpointState, delay_ms: float) -> Migrations:
        """Handle the delay of a message at the endpoint. Return the migrations that it requires."""
        self._apply_measurement(now_ms, endpoint, delay_ms > self._overload_delay_ms)
        needs_relief = delay_ms > self._relief_delay_ms and self._relief.is_allowed
        return self._relief.relieve(endpoint) if needs_relief else []

    def record_report(self, now_ms: float, endpoint: EndpointState, report: dict[str, float]) -> Migrations:
        """Handle a load report of the endpoint. Return the migrations that it requires.

        A report is ignored where connections measure delays.
        """
        if not report or self._fleet.settings.reports_delay:
            return []
        verdict = self._fleet.health_checks.record_report(now_ms, endpoint.name, report)
        self._apply_measurement(now_ms, endpoint, verdict.is_overloaded)
        if not verdict.excess_ratio or not self._relief.is_allowed:
            return []
        excess = len(endpoint.connections.established) * verdict.excess_ratio
        return self._relief.relieve(endpoint, int(excess + self._rng.random()))

    def record_load(self, now_ms: float, endpoint: EndpointState, request_id: int, load: float) -> Migrations:
        """Record the load of an established connection. Return the migrations that it requires.

        A load is ignored where delays are measured.
        """
        request = endpoint.connections.established.get(request_id)
        if request is None or self._fleet.measures_delay():
            return []
        estimate = endpoint.load
        estimate.reported_load += load - (request.reported_load or 0.0)
        estimate.reported_count += request.reported_load is None
        request.load = load
        request.reported_load = load
        self._reported_loads.add(load)
        migrations = self._relief.relieve_over_quota(now_ms, endpoint)
        return migrations + self.check_utilization(now_ms, endpoint)

    def check_utilization(self, now_ms: float, endpoint: EndpointState) -> Migrations:
        """Deprioritize the endpoint if its utilization is high, absolutely and relative to the fleet's mean.

        Return the migrations that relieve it.
        """
        load = endpoint.load
        if now_ms < load.next_check_ms or not endpoint.ready:
            return []
        load.next_check_ms = now_ms + UTILIZATION_CHECK_INTERVAL_MS
        ready = self._fleet.ready
        utilization = self._utilization(endpoint)
        ratio_to_mean = utilization * len(ready) / (sum(map(self._utilization, ready)) or 1.0)
        confidence = quotas.count_confidence(self._even_count(endpoint))
        ratio_to_mean = 1.0 + (ratio_to_mean - 1.0) * min(1.0, 2.0 * confidence)
        if utilization > SATURATED_UTILIZATION:
            # The messages of all its clients are late, so it is better to serve fewer clients.
            load.saturated_until_ms = now_ms + OVERLOAD_MS
        if utilization <= HIGH_UTILIZATION or ratio_to_mean <= HIGH_RATIO_TO_MEAN:
            return []
        load.deprioritized_until_ms = now_ms + OVERLOAD_MS
        needs_relief = utilization > RELIEF_UTILIZATION and ratio_to_mean > RELIEF_RATIO_TO_MEAN
        return self._relief.relieve(endpoint) if needs_relief and self._relief.is_allowed else []

    def _even_count(self, endpoint: EndpointState) -> float:
        """Return the connections that this relay would hold there if they were spread by weight."""
        return endpoint.weights.effective / self._fleet.total_weight * self._fleet.open_count

    def _utilization(self, endpoint: EndpointState) -> float:
        """Return the estimated utilization of the endpoint: its load over its weight.

        Each other relay is assumed to hold a number of connections between our own and the even one, all of
        mean load, because a few heavy connections of ours say nothing about theirs.
        """
        connections = endpoint.connections
        even_count = self._even_count(endpoint)
        confidence = quotas.count_confidence(even_count)
        other_relays = self._relay_count - 1
        open_at_others = other_relays * (even_count + confidence * (connections.open_count - even_count))
        unreported = connections.open_count - endpoint.load.reported_count + open_at_others
        unreported += GROUP_COST * len(connections.group_counts)
        unreported_load = unreported * self._reported_loads.total / max(1.0, self._reported_loads.count)
        return (endpoint.load.reported_load + unreported_load) / (1000.0 * endpoint.weights.effective)
