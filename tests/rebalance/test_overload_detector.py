"""Tests of the overload signals."""

from __future__ import annotations

from sageturn.rebalance.connection_table import ConnectionTable
from sageturn.rebalance.overload_detector import OverloadDetector
from sageturn.rebalance.overload_signals import OverloadSignal


def test_returns_to_other_relays_are_no_signal_where_there_are_many_relays() -> None:
    # With 50 relays, one in 50 clients returns to this relay. A fixed lower bound of 0.1 on the expected
    # return ratio would report that as an outage.
    detector = OverloadDetector(1.0 / 50.0)
    table = ConnectionTable()
    now_ms = 0.0
    for number in range(2000):
        now_ms += 40.0
        if number % 50 == 0:
            detector.record_return(now_ms)
        else:
            detector.record_missing(now_ms, 1)
        assert OverloadSignal.MISSING_CLIENTS not in detector.evaluate(now_ms, table, ())
    for _ in range(1000):
        now_ms += 40.0
        detector.record_missing(now_ms, 1)
    signals = detector.evaluate(now_ms, table, ())
    assert OverloadSignal.MISSING_CLIENTS in signals, "no return at all is a signal"
