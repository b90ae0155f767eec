"""Measurement of the time until all relays apply an override: real relays on loopback, with linked stores."""

from __future__ import annotations

import asyncio
import time
from base64 import b64encode
from dataclasses import dataclass, field
from pathlib import Path

import numpy as np
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from cryptography.hazmat.primitives.serialization import Encoding, PublicFormat

from sageturn.lab.loopback.fakes import FakeEndpoint
from sageturn.lab.loopback.loopback_runner import Deployment, deployed
from sageturn.lab.loopback.ports import reserve_port
from sageturn.lab.measurements.override_operations import OPERATOR, revoke_operation, set_operation
from sageturn.lab.model.client_event import ClientEvent
from sageturn.lab.model.fleet_spec import FleetSpec
from sageturn.lab.model.planner_kind import PlannerKind
from sageturn.lab.reports.result_table import Row
from sageturn.net.json_stream import JsonObject
from sageturn.overrides.operations import (
    OverrideKind,
    OverrideOperation,
    OverridePayload,
    Selector,
    SelectorAttribute,
    new_override_id,
)
from sageturn.overrides.signing import sign_operation
from sageturn.store.channel import read_secret
from sageturn.store.replication.ephemeral_client import open_ephemeral_client
from sageturn.store.store import Store

SPEC = FleetSpec(relays=3, endpoints=12, initial_endpoints=12, connections=600, mean_lifetime_s=6.0)
SECRET = "lab"
# No relay may place a request on the endpoint later than this after all relays have reported the override.
GRACE_S = 0.5
WARM_UP_S = 3.0
OBSERVATION_S = 1.5
ROUND_S = 3.0
MAX_EXTRA_S = 20.0
PROPAGATION_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.001


@dataclass
class _Measurements:
    propagation_ms: list[float] = field(default_factory=list)
    placed: int = 0
    placed_late: int = 0


async def measure_propagation(rounds: int) -> Row:
    """Take an endpoint out of service and back in each round, under steady load, and return the figures."""
    reserved = [reserve_port() for _ in range(SPEC.relays)]
    store_ports = [port for _, port in reserved]
    operator_key = Ed25519PrivateKey.generate()
    measurements = _Measurements()

    def sections(relay: int, folder: Path) -> JsonObject:
        return _operator_sections(relay, folder, store_ports, operator_key)

    async with deployed(SPEC, PlannerKind.OFF, {}, sections) as deployment:
        running = asyncio.ensure_future(deployment.run(rounds * ROUND_S + MAX_EXTRA_S))
        await asyncio.sleep(WARM_UP_S)
        store_address = ("127.0.0.1", store_ports[0])
        async with open_ephemeral_client(store_address, read_secret(SECRET), PROPAGATION_TIMEOUT_S) as store:
            for _ in range(rounds):
                await _run_round(deployment, store, operator_key, measurements)
        running.cancel()
        await asyncio.wait((running,))
        counts = deployment.observations.counts
    return {
        "rounds": rounds,
        "set to the last relay's word of it, p50 ms": _percentile(measurements.propagation_ms, 50),
        "p99 ms": _percentile(measurements.propagation_ms, 99),
        "requests placed meanwhile": measurements.placed,
        "on an out-of-service host over 500 ms after": measurements.placed_late,
        "unanswered": counts[ClientEvent.UNANSWERED],
        "errors": counts[ClientEvent.ERROR],
        "refused": counts[ClientEvent.BUSY],
    }


def _operator_sections(
    relay: int, folder: Path, store_ports: list[int], operator_key: Ed25519PrivateKey
) -> JsonObject:
    """Return the sections of a relay's operator file that link the stores and accept the lab's operator."""
    (folder / "secret").write_text(SECRET)
    public_key = operator_key.public_key().public_bytes(Encoding.Raw, PublicFormat.Raw)
    return {
        "store": {
            "path": "store",
            "listen": f"127.0.0.1:{store_ports[relay]}",
            "peers": [f"127.0.0.1:{port}" for port in store_ports if port != store_ports[relay]],
            "secret_file": "secret",
        },
        "overrides": {"operators": {OPERATOR: b64encode(public_key).decode()}},
    }


async def _run_round(
    deployment: Deployment, store: Store, operator_key: Ed25519PrivateKey, measurements: _Measurements
) -> None:
    # Each round uses the same endpoint: it comes back cold, and the others have to be warm.
    endpoint = deployment.endpoints[0]
    selector = Selector(SelectorAttribute.ENDPOINT, endpoint.model.name)
    operation = set_operation(new_override_id("out"), OverridePayload(OverrideKind.OUT_OF_SERVICE, selector))
    set_s = time.monotonic()
    store.put(operation.key, sign_operation(operation, operator_key))
    await _wait_until_reported(store, operation)
    reported_s = time.monotonic()
    measurements.propagation_ms.append((reported_s - set_s) * 1000.0)
    await asyncio.sleep(OBSERVATION_S)
    # The relays applied the override some time before ``reported_s``: their published states arrive later.
    measurements.placed_late += _count_requests_since(endpoint, reported_s + GRACE_S)
    measurements.placed += sum(_count_requests_since(each, set_s) for each in deployment.endpoints)
    revocation = revoke_operation(operation.override_id)
    store.put(revocation.key, sign_operation(revocation, operator_key))
    await _wait_until_reported(store, revocation)


def _count_requests_since(endpoint: FakeEndpoint, since_s: float) -> int:
    return sum(requested_s > since_s for requested_s in endpoint.setup_requested_s)


async def _wait_until_reported(store: Store, operation: OverrideOperation) -> None:
    """Wait until each relay's published state has the operation's revision."""
    async with asyncio.timeout(PROPAGATION_TIMEOUT_S):
        while True:
            states = [store.get(f"state/r{relay}/overrides") for relay in range(SPEC.relays)]
            if all(
                state and state["words"].get(operation.override_id) == operation.revision for state in states
            ):
                return
            await asyncio.sleep(POLL_INTERVAL_S)


def _percentile(values: list[float], percentile: int) -> float:
    return round(float(np.percentile(values, percentile)), 1)
