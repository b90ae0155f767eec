"""Each subsystem encodes the state that it publishes in the store byte for byte as revision 6e0cdec did.

The compared bytes are those that are sent to other replicas: a record's JSON, with its fields in the order of
encoding. Operators' signed operations, which the store contains too, are compared as well.
"""

from __future__ import annotations

import json
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from support.network_fakes import write_config
from support.rebalance_fleet import RebalanceFleet

from sageturn import Endpoint, EndpointListEvent, RequestClass, Settings
from sageturn.config.loader import load
from sageturn.core.clock import Clock
from sageturn.core.close_reason import CloseReason
from sageturn.overrides.actor import OverrideActor
from sageturn.overrides.errors import InvalidOperationError
from sageturn.overrides.operations import (
    OperationType,
    OverrideKind,
    OverrideOperation,
    OverridePayload,
    Selector,
    SelectorAttribute,
)
from sageturn.overrides.options import OverrideOptions, SafetyLimits
from sageturn.overrides.signing import parse_operation, sign_operation
from sageturn.rebalance.batches import BlockReason
from sageturn.rebalance.options import RebalanceOptions
from sageturn.rebalance.plan import MigrationPlan, PlanPhase
from sageturn.relay import Relay
from sageturn.store.records import StoreRecord

FIXTURES = Path(__file__).parents[1] / "fixtures" / "states"
NOW_MS = 1_700_000_000_000.0
HOUR_MS = 3_600_000.0
KEYS = {
    "lan": Ed25519PrivateKey.from_private_bytes(bytes(range(32))),
    "mai": Ed25519PrivateKey.from_private_bytes(bytes(range(32, 64))),
}


def as_lines(records: list[tuple[str, Any]]) -> bytes:
    return "".join(json.dumps([key, value]) + "\n" for key, value in records).encode()


# ---------------------------------------------------------------- state/NODE/relay


async def relay_states(folder: Path, operator: dict[str, Any]) -> list[tuple[str, Any]]:
    """Return the states of a relay that was never started, before and after connections have been counted."""
    (folder / "secret").write_text("a shared secret")
    (folder / "operator.json").write_text(json.dumps(operator))
    environment = {"GW_CONFIG": str(write_config(folder, ("127.0.0.1", 9)))}
    relay = Relay(load(environment, str(folder / "operator.json")))
    states = [report(relay)]
    for number, close_reason in enumerate(CloseReason, 1):
        relay.closed_connections.counts[close_reason.name.lower()] += number
    relay.closed_connections.counts["not_placed"] += 1
    relay.context.invalid_report_values["queue"] += 2
    if relay.flow_exporter is not None:
        relay.flow_exporter.dropped_flows = 3
    if relay.replication is not None:
        relay.replication.replica.zones.merge({"south/s1": 35.0, "south/s2": 1.0}, time.monotonic())
    states.append(report(relay))
    relay.listener.close()
    return states


def report(relay: Relay) -> tuple[str, Any]:
    relay.state_reporter.report()
    (key,) = [key for key in relay.store.keys("state/") if key.endswith("/relay")]
    return key, relay.store.get(key)


RELAYS: dict[str, dict[str, Any]] = {
    "alone": {},
    "with-peers": {
        "store": {"listen": "127.0.0.1:0", "secret_file": "secret", "region": "north", "zone": "n1"},
        "flows": {"collector": "127.0.0.1:9"},
    },
}


async def make_relay_states(name: str) -> bytes:
    with tempfile.TemporaryDirectory() as folder:
        return as_lines(await relay_states(Path(folder), RELAYS[name]))


# ---------------------------------------------------------------- state/NODE/rebalance


def record_overload(fleet: RebalanceFleet) -> None:
    """Record all signals of overload: rejections, resets, failed calls, missing clients, disconnects."""
    detector = fleet.planner.overload_detector
    now_ms = fleet.now_ms
    detector.record_request(now_ms)
    detector.record_established(now_ms, is_slow=True)
    detector.record_rejection(now_ms)
    detector.record_reset(now_ms)
    detector.record_connect_failure(now_ms)
    detector.record_missing(now_ms, 5)
    fleet.handle(EndpointListEvent("changes", [Endpoint("c", state="draining"), Endpoint("d", state="gone")]))
    detector.record_endpoint_list(failed=True)


def make_rebalance_states() -> bytes:
    """Return states of an uneven fleet before, during and after rebalancing, in dry run, off, in overload."""
    states = []
    fleet = RebalanceFleet("abcd", {"part_per_min": 0.5, "least_age_s": 2.0})
    for endpoint, groups in (("a", 14), ("b", 6), ("c", 6), ("d", 6)):
        for number in range(groups):
            fleet.add_connections(endpoint, 5, f"{endpoint}{number}")
    for seconds in (1, 29, 15, 200):
        fleet.run(seconds)
        states.append(fleet.planner.encode_state(fleet.plan))
    fleet.planner.options = RebalanceOptions(mode="dry-run")
    states.append(fleet.planner.encode_state(fleet.step()))
    fleet.planner.options = RebalanceOptions(mode="off")
    states.append(fleet.planner.encode_state(fleet.step()))
    for number, block in enumerate(BlockReason):
        fleet.planner.block_counts[block] = number
    states.append(fleet.planner.encode_state(MigrationPlan((), PlanPhase.HELD, "said here")))
    fleet.planner.options = fleet.options
    for _ in range(40):
        record_overload(fleet)
    states.append(fleet.planner.encode_state(fleet.step()))
    return as_lines([("state/n1/rebalance", state) for state in states])


# ---------------------------------------------------------------- overrides


def make_operation(
    override: str,
    operation_type: str,
    revision: int,
    operator: str,
    payload: OverridePayload | None = None,
    **changed: Any,
) -> OverrideOperation:
    expires_at_ms = 0.0 if operation_type == "revoke" else NOW_MS + HOUR_MS
    fields = {
        "created_at_ms": NOW_MS + revision,
        "reason": 'tổ "1"',
        "expires_at_ms": expires_at_ms,
        "nonce": "0a1b2c3d",
        **changed,
    }
    return OverrideOperation(
        override, OperationType(operation_type), revision, operator=operator, payload=payload, **fields
    )


OPERATIONS = [
    make_operation(
        "o-out",
        "set",
        1,
        "lan",
        OverridePayload(
            OverrideKind.OUT_OF_SERVICE, Selector(SelectorAttribute.ENDPOINT, "a"), migrate_connections=True
        ),
    ),
    make_operation("o-out", "extend", 2, "mai", expires_at_ms=NOW_MS + 2 * HOUR_MS),
    make_operation(
        "o-weight",
        "set",
        1,
        "lan",
        OverridePayload(OverrideKind.WEIGHT, Selector(SelectorAttribute.ZONE, "z1"), factor=0.25),
        forced=True,
    ),
    make_operation(
        "o-hold", "set", 1, "mai", OverridePayload(OverrideKind.HOLD, Selector(SelectorAttribute.KIND, "k2"))
    ),
    make_operation("o-hold", "revoke", 2, "lan"),
    make_operation(
        "o-pin",
        "set",
        1,
        "lan",
        OverridePayload(
            OverrideKind.PIN, endpoints=("b", "c"), strict=True, class_name="c", tenant="t", group_prefix="g"
        ),
    ),
    make_operation(
        "o-start",
        "set",
        1,
        "lan",
        OverridePayload(
            OverrideKind.OUT_OF_SERVICE, Selector(SelectorAttribute.ENDPOINT, "b"), process_started_at_ms=5.0
        ),
    ),
    make_operation(
        "o-cell",
        "set",
        1,
        "mai",
        OverridePayload(OverrideKind.OUT_OF_SERVICE, Selector(SelectorAttribute.CELL, "3")),
        expires_at_ms=NOW_MS + 1.0,
    ),
    make_operation(
        "o-much",
        "set",
        1,
        "mai",
        OverridePayload(OverrideKind.OUT_OF_SERVICE, Selector(SelectorAttribute.ZONE, "z2")),
    ),
]


def signed_operations() -> list[tuple[str, Any]]:
    return [(operation.key, sign_operation(operation, KEYS[operation.operator])) for operation in OPERATIONS]


def override_options() -> OverrideOptions:
    return OverrideOptions(
        {name: key.public_key() for name, key in KEYS.items()}, safety_limits=SafetyLimits(0.5, 0.0, 0.0)
    )


async def discard_event(event: Any) -> None:
    """Discard an event, in place of the balancer actor's mailbox."""


OVERRIDDEN_ENDPOINTS = [
    Endpoint("a", zone="z1", kind="k1", cell=1),
    Endpoint("b", zone="z1", kind="k2", started_at_ms=5.0),
    Endpoint("c", zone="z2", kind="k2", cell=3),
    Endpoint("d", zone="z2", weight=2.0),
]


def make_override_actor(
    records: dict[str, Any], states: list[tuple[str, Any]], now_ms: Callable[[], float]
) -> OverrideActor:
    """Return an actor that reads ``records`` and appends its states to ``states``."""
    store: Any = SimpleNamespace(keys=lambda prefix="": sorted(records), get=records.get)
    balancer_actor: Any = SimpleNamespace(
        settings=Settings(classes=(RequestClass("c", latency_objective_ms=500),)),
        observers=[],
        clock=Clock(),
        post_event=discard_event,
    )
    return OverrideActor(
        balancer_actor,
        override_options(),
        store,
        lambda state: states.append(("state/n1/overrides", state)),
        now_ms=now_ms,
    )


async def override_states(operations: list[tuple[str, Any]]) -> list[tuple[str, Any]]:
    """Return the states with these operations, then with a rejected one, then once some have expired."""
    states: list[tuple[str, Any]] = []
    clock = SimpleNamespace(now_ms=NOW_MS)
    overrides = make_override_actor(dict(operations), states, lambda: clock.now_ms)
    overrides.registry.apply_endpoint_list(OVERRIDDEN_ENDPOINTS, True, clock.now_ms)
    await overrides.step()
    forged = {**operations[0][1], "why": "forged"}
    overrides.on_store_change(
        [StoreRecord("overrides/o-forged/000001-lan-0a1b2c3d", forged, version=1, node="n1")]
    )
    await overrides.step()
    clock.now_ms = NOW_MS + 3 * HOUR_MS
    await overrides.step()
    return states


async def produce_fixtures() -> dict[str, bytes]:
    files = {f"relay-{name}.jsonl": await make_relay_states(name) for name in RELAYS}
    files["rebalance.jsonl"] = make_rebalance_states()
    files["override-words.jsonl"] = as_lines(signed_operations())
    files["overrides.jsonl"] = as_lines(await override_states(signed_operations()))
    return files


def recorded(name: str) -> list[tuple[str, Any]]:
    lines = (FIXTURES / name).read_text().splitlines()
    return [(key, value) for key, value in map(json.loads, lines)]


@pytest.mark.parametrize("name", RELAYS)
async def test_relay_state_is_encoded_as_recorded(name: str) -> None:
    assert await make_relay_states(name) == (FIXTURES / f"relay-{name}.jsonl").read_bytes()


def test_rebalance_state_is_encoded_as_recorded() -> None:
    assert make_rebalance_states() == (FIXTURES / "rebalance.jsonl").read_bytes()


def test_operations_are_signed_as_recorded_and_recorded_ones_are_parsed() -> None:
    assert as_lines(signed_operations()) == (FIXTURES / "override-words.jsonl").read_bytes()
    operators = override_options().operators
    assert [
        parse_operation(key, value, operators) for key, value in recorded("override-words.jsonl")
    ] == OPERATIONS


def test_a_recorded_operation_that_was_changed_is_rejected() -> None:
    key, value = recorded("override-words.jsonl")[0]
    with pytest.raises(InvalidOperationError, match="signature"):
        parse_operation(key, {**value, "until_ms": value["until_ms"] + 1.0}, override_options().operators)


async def test_override_state_of_recorded_operations_is_encoded_as_recorded() -> None:
    states = await override_states(recorded("override-words.jsonl"))
    assert as_lines(states) == (FIXTURES / "overrides.jsonl").read_bytes()
