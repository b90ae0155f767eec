"""Derives overload signals from the events that pass through this relay."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from sageturn.core.endpoint_snapshot import EndpointSnapshot
from sageturn.rebalance.connection_table import ConnectionTable
from sageturn.rebalance.decaying_counter import DecayingCounter
from sageturn.rebalance.overload_signals import OverloadSignal

# Time constants of the decaying counters.
EVENT_TIME_CONSTANT_MS = 5000.0  # spans a few migrations with their reconnections
RETURN_TIME_CONSTANT_MS = 20000.0  # longer than the other, because migrations are rare

# Thresholds of the signals, on decayed counts of events and their ratios.
MIN_SLOW_SETUPS = 2.0
MIN_SLOW_SETUP_RATIO = 0.1  # fraction of all set-ups
MIN_REJECTIONS = 0.5  # one recent rejection is enough
MIN_OUTAGE_REJECTIONS = 3.0
MIN_OUTAGE_REJECTION_RATIO = 0.2  # fraction of all requests
MIN_RESETS = 1.5
MIN_RESET_RATIO = 0.005  # fraction of the established connections
MIN_OUTAGE_RESETS = 4.0
MIN_OUTAGE_RESET_RATIO = 0.03  # fraction of the established connections
MIN_CONNECT_FAILURES = 1.5  # a regular shutdown of an endpoint may cause one failure
MIN_EXPECTED_RETURNS = 4.0  # a smaller number says too little for a signal
MIN_RETURN_RATIO = 0.5  # fraction of the expected returns; with fewer, clients are missing
RETURN_RATIO_SMOOTHING_FACTOR = 0.02  # weight of one client in the learned return ratio
MIN_LEARNED_RETURN_SHARE = 0.5  # lower bound, as a fraction of the return ratio's initial value

MAX_DRAIN_SIGNAL_MS = 60000.0  # limit per endpoint; a longer drain releases its clients slowly
ENDPOINT_LOSS_SIGNAL_MS = 8000.0  # time in which the lost endpoint's clients reconnect


class OverloadDetector:
    """Detector of overload signals, based on decaying counts of events.

    ``expected_return_ratio`` is the expected fraction of migrated clients that reconnect to this relay; the
    others reconnect to another relay. It is learned from the observed returns.
    """

    def __init__(self, expected_return_ratio: float) -> None:
        self.set_expected_return_ratio(expected_return_ratio)
        # Number of evaluations in which each signal held.
        self.signal_counts: Counter[OverloadSignal] = Counter()
        self._requests = DecayingCounter(EVENT_TIME_CONSTANT_MS)
        self._setups = DecayingCounter(EVENT_TIME_CONSTANT_MS)
        self._slow_setups = DecayingCounter(EVENT_TIME_CONSTANT_MS)
        self._rejections = DecayingCounter(EVENT_TIME_CONSTANT_MS)
        self._resets = DecayingCounter(EVENT_TIME_CONSTANT_MS)
        self._connect_failures = DecayingCounter(EVENT_TIME_CONSTANT_MS)
        self._returns = DecayingCounter(RETURN_TIME_CONSTANT_MS)
        self._missing_clients = DecayingCounter(RETURN_TIME_CONSTANT_MS)
        self._endpoint_list_failed = False
        self._endpoints: dict[str, EndpointSnapshot] = {}
        self._draining_since_ms: dict[str, float] = {}
        self._endpoint_lost_ms: float | None = None  # time at which an endpoint was last lost; None: never

    def set_expected_return_ratio(self, ratio: float) -> None:
        """Restart learning from ``ratio``, the fraction of clients that return to this relay by chance."""
        self.expected_return_ratio = ratio
        # Without a lower bound each outage would reduce the ratio, until the next one went undetected.
        self._min_return_ratio = ratio * MIN_LEARNED_RETURN_SHARE

    # ------------------------------------------------------------ events

    def record_request(self, now_ms: float) -> None:
        """Count a client's request for a connection."""
        self._requests.add(now_ms)

    def record_established(self, now_ms: float, is_slow: bool) -> None:
        """Count a connection that was set up; ``is_slow`` if it exceeded its class's latency objective."""
        self._setups.add(now_ms)
        if is_slow:
            self._slow_setups.add(now_ms)

    def record_rejection(self, now_ms: float) -> None:
        """Count a request that was rejected or has failed."""
        self._rejections.add(now_ms)

    def record_reset(self, now_ms: float) -> None:
        """Count an established connection that its endpoint has reset."""
        self._resets.add(now_ms)

    def record_connect_failure(self, now_ms: float) -> None:
        """Count an attempt to connect to an endpoint that failed or timed out."""
        self._connect_failures.add(now_ms)

    def record_endpoint_list(self, failed: bool) -> None:
        """Record that the endpoint list was updated, or that its watch has failed."""
        self._endpoint_list_failed = failed

    def record_return(self, now_ms: float) -> None:
        """Count a migrated client that has reconnected to this relay."""
        self._returns.add(now_ms)
        self.expected_return_ratio += RETURN_RATIO_SMOOTHING_FACTOR * (1.0 - self.expected_return_ratio)

    def record_missing(self, now_ms: float, client_count: int) -> None:
        """Count migrated clients that have not reconnected to this relay in time."""
        if not client_count:
            return
        self._missing_clients.add(now_ms, client_count)
        learned = self.expected_return_ratio * (1.0 - RETURN_RATIO_SMOOTHING_FACTOR) ** client_count
        self.expected_return_ratio = max(self._min_return_ratio, learned)

    # ------------------------------------------------------------ evaluation

    def evaluate(
        self,
        now_ms: float,
        connections: ConnectionTable,
        endpoints: Iterable[EndpointSnapshot],
        out_of_service: frozenset[str] = frozenset(),
    ) -> list[OverloadSignal]:
        """Return the signals that hold now, in their order of precedence. To be called once a tick.

        Args:
            now_ms: The relay's time.
            connections: This relay's connections.
            endpoints: Snapshots of all endpoints.
            out_of_service: The endpoints that an operator has taken out of service: they count as draining
                in the snapshots, but are no signal.
        """
        self._observe_endpoints(now_ms, connections, endpoints, out_of_service)
        conditions = self._conditions(now_ms, connections)
        signals = [signal for signal, holds in conditions if holds]
        self.signal_counts.update(signals)
        return signals

    def _conditions(
        self, now_ms: float, connections: ConnectionTable
    ) -> tuple[tuple[OverloadSignal, bool], ...]:
        """Return each signal with whether it holds now, in their order of precedence."""
        return (
            (OverloadSignal.ENDPOINT_LIST_FAILED, self._endpoint_list_failed),
            (OverloadSignal.ENDPOINT_LOST, self._was_endpoint_lost(now_ms)),
            (OverloadSignal.ENDPOINT_DRAINING, self._is_any_endpoint_draining(now_ms)),
            (OverloadSignal.REJECTION_OUTAGE, self._is_rejecting_many(now_ms)),
            (
                OverloadSignal.RESET_OUTAGE,
                self._has_resets(now_ms, connections, MIN_OUTAGE_RESETS, MIN_OUTAGE_RESET_RATIO),
            ),
            (
                OverloadSignal.ENDPOINT_EJECTED,
                any(endpoint.is_ejected for endpoint in self._endpoints.values()),
            ),
            (OverloadSignal.REJECTIONS, self._rejections.value_at(now_ms) >= MIN_REJECTIONS),
            (OverloadSignal.RESETS, self._has_resets(now_ms, connections, MIN_RESETS, MIN_RESET_RATIO)),
            (
                OverloadSignal.CONNECT_FAILURES,
                self._connect_failures.value_at(now_ms) >= MIN_CONNECT_FAILURES,
            ),
            (OverloadSignal.SLOW_SETUPS, self._has_slow_setups(now_ms)),
            (OverloadSignal.MISSING_CLIENTS, self._are_returns_missing(now_ms)),
        )

    def _was_endpoint_lost(self, now_ms: float) -> bool:
        lost_ms = self._endpoint_lost_ms
        return lost_ms is not None and now_ms < lost_ms + ENDPOINT_LOSS_SIGNAL_MS

    def _is_any_endpoint_draining(self, now_ms: float) -> bool:
        return any(now_ms < since_ms + MAX_DRAIN_SIGNAL_MS for since_ms in self._draining_since_ms.values())

    def _is_rejecting_many(self, now_ms: float) -> bool:
        rejections = self._rejections.value_at(now_ms)
        requests = self._requests.value_at(now_ms)
        return rejections >= MIN_OUTAGE_REJECTIONS and rejections >= MIN_OUTAGE_REJECTION_RATIO * requests

    def _has_resets(
        self, now_ms: float, connections: ConnectionTable, min_resets: float, min_ratio: float
    ) -> bool:
        established = max(1, len(connections))
        return self._resets.value_at(now_ms) >= max(min_resets, min_ratio * established)

    def _has_slow_setups(self, now_ms: float) -> bool:
        slow = self._slow_setups.value_at(now_ms)
        return slow >= MIN_SLOW_SETUPS and slow >= MIN_SLOW_SETUP_RATIO * self._setups.value_at(now_ms)

    def _are_returns_missing(self, now_ms: float) -> bool:
        returned = self._returns.value_at(now_ms)
        awaited = returned + self._missing_clients.value_at(now_ms)
        if awaited * self.expected_return_ratio < MIN_EXPECTED_RETURNS:
            return False
        return returned < MIN_RETURN_RATIO * self.expected_return_ratio * awaited

    # ------------------------------------------------------------ endpoints

    def _observe_endpoints(
        self,
        now_ms: float,
        connections: ConnectionTable,
        endpoints: Iterable[EndpointSnapshot],
        out_of_service: frozenset[str],
    ) -> None:
        """Record losses since the last tick, and since when endpoints with this relay's connections drain."""
        current = {endpoint.name: endpoint for endpoint in endpoints}
        if any(self._is_lost(previous, current) for previous in self._endpoints.values()):
            self._endpoint_lost_ms = now_ms
        for name, endpoint in current.items():
            if endpoint.is_draining and name in connections.endpoints and name not in out_of_service:
                self._draining_since_ms.setdefault(name, now_ms)
            else:
                self._draining_since_ms.pop(name, None)
        for name in [name for name in self._draining_since_ms if name not in current]:
            del self._draining_since_ms[name]
        self._endpoints = current

    @staticmethod
    def _is_lost(previous: EndpointSnapshot, current: dict[str, EndpointSnapshot]) -> bool:
        """Return True if an endpoint was removed without draining, or has restarted."""
        endpoint = current.get(previous.name)
        if endpoint is None:
            return not previous.is_draining
        return endpoint.started_ms != previous.started_ms
