"""State record in which a relay reports its overrides."""

from __future__ import annotations

from support.override_records import START_MS, make_operation, make_out_of_service
from support.override_registry import RegistryDriver, make_endpoint

from sageturn.overrides.operation_log import OverrideRecord
from sageturn.overrides.options import SafetyLimits
from sageturn.overrides.relay_state import RelayOverrideState, decode_relay_state, encode_relay_state


def test_the_state_record_is_decoded_as_the_relay_reports_it() -> None:
    driver = RegistryDriver(safety_limits=SafetyLimits(0.5, 0.4, 0.3), max_duration_s=7200.0)
    driver.apply(
        make_operation("o1", make_out_of_service("a")),
        make_operation("o2", make_out_of_service("b"), created_at_ms=START_MS + 1),
    )
    driver.apply_records(OverrideRecord("overrides/o3/000001-lan-00000000", 5))
    state = decode_relay_state(encode_relay_state(driver.registry, START_MS))
    assert state == RelayOverrideState(
        statuses={"o1": "in force", "o2": "suspended"},
        revisions={"o1": 1, "o2": 1},
        suspended={"o2": "would leave 0.0 of 2.0 in zone z1, under its floor of 40%"},
        rejected_records={"overrides/o3/000001-lan-00000000": "not an object"},
        endpoints={name: make_endpoint(name) for name in "abcd"},
        safety_limits=SafetyLimits(0.5, 0.4, 0.3),
        max_duration_s=7200.0,
    )
