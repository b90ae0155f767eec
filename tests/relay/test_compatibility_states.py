"""What each subsystem tells of its state in the store stays as revision 6e0cdec told it, byte for byte.

A record's bytes are those that go out on a link: its JSON with its fields in the order in which they are
told. Operators' signed words, which lie beside the states in the store, are held here too.
"""

from __future__ import annotations

import asyncio
import json
import tempfile
import time
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from support.network_fakes import write_config
from support.rebalance_fleet import Fleet

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
    """What a relay that has not been started tells of itself, before and after connections have ended."""
    (folder / "secret").write_text("a shared secret")
    (folder / "operator.json").write_text(json.dumps(operator))
    env = {"GW_CONFIG": str(write_config(folder, ("127.0.0.1", 9)))}
    relay = Relay(load(env, str(folder / "operator.json")))
    told = [report(relay)]
    for number, close_reason in enumerate(CloseReason, 1):
        relay.closed_connections.counts[close_reason.name.lower()] += number
    relay.closed_connections.counts["not_placed"] += 1
    relay.context.invalid_report_values["queue"] += 2
    if relay.flow_exporter is not None:
        relay.flow_exporter.dropped = 3
    if relay.replication is not None:
        relay.replication.replica.zones.merge({"south/s1": 35.0, "south/s2": 1.0}, time.monotonic())
    told.append(report(relay))
    relay.listener.close()
    return told


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


def make_relay_states(name: str) -> bytes:
    with tempfile.TemporaryDirectory() as folder:
        return as_lines(asyncio.run(relay_states(Path(folder), RELAYS[name])))


# ---------------------------------------------------------------- state/NODE/rebalance


def record_overload(fleet: Fleet) -> None:
    """What speaks against moving more: refusals, resets, failed calls, clients that stay away, losses."""
    detector = fleet.planner.overload_detector
    now_ms = fleet.now_ms
    detector.record_request(now_ms)
    detector.record_established(now_ms, late=True)
    detector.record_rejection(now_ms)
    detector.record_reset(now_ms)
    detector.record_connect_failure(now_ms)
    detector.record_missing(now_ms, 5)
    fleet.handle(EndpointListEvent("changes", [Endpoint("c", state="draining"), Endpoint("d", state="gone")]))
    detector.record_endpoint_list(failed=True)


def make_rebalance_states() -> bytes:
    """An uneven fleet at first, while it is balanced, after that, in a dry run, turned off, in trouble."""
    told = []
    fleet = Fleet("abcd", {"part_per_min": 0.5, "least_age_s": 2.0})
    for host, groups in (("a", 14), ("b", 6), ("c", 6), ("d", 6)):
        for number in range(groups):
            fleet.add_connections(host, 5, f"{host}{number}")
    for seconds in (1, 29, 15, 200):
        fleet.run(seconds)
        told.append(fleet.planner.encode_state(fleet.plan))
    fleet.planner.options = RebalanceOptions(mode="dry-run")
    told.append(fleet.planner.encode_state(fleet.step()))
    fleet.planner.options = RebalanceOptions(mode="off")
    told.append(fleet.planner.encode_state(fleet.step()))
    for number, block in enumerate(BlockReason):
        fleet.planner.block_counts[block] = number
    told.append(fleet.planner.encode_state(MigrationPlan((), PlanPhase.HELD, "said here")))
    fleet.planner.options = fleet.options
    for _ in range(40):
        record_overload(fleet)
    told.append(fleet.planner.encode_state(fleet.step()))
    return as_lines([("state/n1/rebalance", state) for state in told])


# ---------------------------------------------------------------- overrides


def op(
    override: str, word: str, revision: int, operator: str, body: OverridePayload | None = None, **more: Any
) -> OverrideOperation:
    until_ms = 0.0 if word == "revoke" else NOW_MS + HOUR_MS
    said = {
        "created_at_ms": NOW_MS + revision,
        "reason": 'tổ "1"',
        "expires_at_ms": until_ms,
        "nonce": "0a1b2c3d",
        **more,
    }
    return OverrideOperation(override, OperationType(word), revision, operator=operator, payload=body, **said)


OPS = [
    op(
        "o-out",
        "set",
        1,
        "lan",
        OverridePayload(
            OverrideKind.OUT_OF_SERVICE, Selector(SelectorAttribute.ENDPOINT, "a"), migrate_connections=True
        ),
    ),
    op("o-out", "extend", 2, "mai", expires_at_ms=NOW_MS + 2 * HOUR_MS),
    op(
        "o-weight",
        "set",
        1,
        "lan",
        OverridePayload(OverrideKind.WEIGHT, Selector(SelectorAttribute.ZONE, "z1"), factor=0.25),
        forced=True,
    ),
    op("o-hold", "set", 1, "mai", OverridePayload(OverrideKind.HOLD, Selector(SelectorAttribute.KIND, "k2"))),
    op("o-hold", "revoke", 2, "lan"),
    op(
        "o-pin",
        "set",
        1,
        "lan",
        OverridePayload(
            OverrideKind.PIN, endpoints=("b", "c"), strict=True, class_name="c", tenant="t", group_prefix="g"
        ),
    ),
    op(
        "o-start",
        "set",
        1,
        "lan",
        OverridePayload(
            OverrideKind.OUT_OF_SERVICE, Selector(SelectorAttribute.ENDPOINT, "b"), process_started_at_ms=5.0
        ),
    ),
    op(
        "o-cell",
        "set",
        1,
        "mai",
        OverridePayload(OverrideKind.OUT_OF_SERVICE, Selector(SelectorAttribute.CELL, "3")),
        expires_at_ms=NOW_MS + 1.0,
    ),
    op(
        "o-much",
        "set",
        1,
        "mai",
        OverridePayload(OverrideKind.OUT_OF_SERVICE, Selector(SelectorAttribute.ZONE, "z2")),
    ),
]


def signed_words() -> list[tuple[str, Any]]:
    return [(said.key, sign_operation(said, KEYS[said.operator])) for said in OPS]


def override_options() -> OverrideOptions:
    return OverrideOptions(
        {name: key.public_key() for name, key in KEYS.items()}, safety_limits=SafetyLimits(0.5, 0.0, 0.0)
    )


def override_states(words: list[tuple[str, Any]]) -> list[tuple[str, Any]]:
    """With the words that are there at first, once more with one that is refused, and when some are over."""
    told: list[tuple[str, Any]] = []
    clock = SimpleNamespace(now_ms=NOW_MS)
    records = dict(words)
    store: Any = SimpleNamespace(keys=lambda prefix="": sorted(records), get=records.get)

    async def discard_event(event: Any) -> None:
        pass

    async def go() -> None:
        balancer_actor: Any = SimpleNamespace(
            settings=Settings(classes=(RequestClass("c", latency_objective_ms=500),)),
            observers=[],
            clock=Clock(),
            post_event=discard_event,
        )
        overrides = OverrideActor(
            balancer_actor,
            override_options(),
            store,
            lambda state: told.append(("state/n1/overrides", state)),
            now_ms=lambda: clock.now_ms,
        )
        endpoints = [
            Endpoint("a", zone="z1", kind="k1", cell=1),
            Endpoint("b", zone="z1", kind="k2", started_at_ms=5.0),
            Endpoint("c", zone="z2", kind="k2", cell=3),
            Endpoint("d", zone="z2", share=2.0),
        ]
        overrides.registry.apply_endpoint_list(endpoints, True, clock.now_ms)
        await overrides.step()
        forged = {**words[0][1], "why": "forged"}
        overrides.on_store_change(
            [StoreRecord("overrides/o-forged/000001-lan-0a1b2c3d", forged, version=1, node="n1")]
        )
        await overrides.step()
        clock.now_ms = NOW_MS + 3 * HOUR_MS
        await overrides.step()

    asyncio.run(go())
    return told


def produced() -> dict[str, bytes]:
    files = {f"relay-{name}.jsonl": make_relay_states(name) for name in RELAYS}
    files["rebalance.jsonl"] = make_rebalance_states()
    files["override-words.jsonl"] = as_lines(signed_words())
    files["overrides.jsonl"] = as_lines(override_states(signed_words()))
    return files


def recorded(name: str) -> list[tuple[str, Any]]:
    lines = (FIXTURES / name).read_text().splitlines()
    return [(key, value) for key, value in map(json.loads, lines)]


@pytest.mark.parametrize("name", RELAYS)
def test_a_relay_tells_of_itself_as_it_did(name: str) -> None:
    assert make_relay_states(name) == (FIXTURES / f"relay-{name}.jsonl").read_bytes()


def test_the_planner_tells_its_state_as_it_did() -> None:
    assert make_rebalance_states() == (FIXTURES / "rebalance.jsonl").read_bytes()


def test_operators_words_are_signed_as_they_were_and_those_of_before_are_read() -> None:
    assert as_lines(signed_words()) == (FIXTURES / "override-words.jsonl").read_bytes()
    operators = override_options().operators
    assert [parse_operation(key, value, operators) for key, value in recorded("override-words.jsonl")] == OPS


def test_a_recorded_word_that_was_changed_is_refused() -> None:
    key, value = recorded("override-words.jsonl")[0]
    with pytest.raises(InvalidOperationError, match="signature"):
        parse_operation(key, {**value, "until_ms": value["until_ms"] + 1.0}, override_options().operators)


def test_overrides_made_of_recorded_words_tell_their_state_as_it_was() -> None:
    told = override_states(recorded("override-words.jsonl"))
    assert as_lines(told) == (FIXTURES / "overrides.jsonl").read_bytes()
