"""Durations and instants as operators write and read them."""

from __future__ import annotations

import pytest
from support.override_records import HOUR_MS

from sageturn.cli.times import InvalidTimeError, format_duration, parse_expiry
from sageturn.overrides.operations import Selector, SelectorAttribute


def test_durations_and_instants_are_parsed_and_formatted() -> None:
    assert parse_expiry("2h30m", 0.0) == 2.5 * HOUR_MS and parse_expiry("1d", 0.0) == 24 * HOUR_MS
    assert parse_expiry("1970-01-01T08:00:00+07:00", 0.0) == HOUR_MS
    for bad in ("", "soon", "0s", "-1h", "1970-01-01T00:00:00Z", "2999-01-01T00:00:00"):
        with pytest.raises(InvalidTimeError):
            parse_expiry(bad, 1.0)
    assert format_duration(2.5 * HOUR_MS) == "2h 30m" and format_duration(0) == "0s"
    assert Selector(SelectorAttribute.ENDPOINT, "a").attribute == "host"
