"""Running relays with overrides, whose stores are linked, and the endpoints that they share."""

from __future__ import annotations

import asyncio
import json
import time
from base64 import b64encode
from collections.abc import AsyncIterator, Set
from contextlib import AsyncExitStack, asynccontextmanager
from functools import partial
from pathlib import Path
from typing import Any

from cryptography.hazmat.primitives.serialization import Encoding, PublicFormat
from support.network_fakes import (
    EndpointScript,
    FakeEndpoint,
    encode_request_line,
    make_endpoint_list,
    send_request,
    start_endpoints_and_discovery,
    write_config,
)
from support.override_records import HOUR_MS, KEYS, make_operation, signed_record

from sageturn.config.loader import load
from sageturn.overrides.actor import OverrideActor
from sageturn.overrides.operations import OperationType, OverrideOperation, OverridePayload
from sageturn.relay import Relay


def replication_address(relay: Relay) -> str:
    """Where the relay's replication listens, as in its settings; fails if it has none."""
    assert relay.replication is not None
    return "{}:{}".format(*relay.replication.address)


def override_actor(relay: Relay) -> OverrideActor:
    """The actor that applies overrides in ``relay``; fails if it is not configured to."""
    assert relay.overrides is not None
    return relay.overrides


def operator_names(relay: Relay) -> Set[str]:
    """The operators whose overrides ``relay`` is configured to accept."""
    options = relay.config.operator.overrides
    assert options is not None
    return options.operators.keys()


def reported_revisions(relay: Relay) -> dict[str, int] | None:
    """The revisions of operations that relay n1 reports to have applied, as ``relay`` has received them."""
    state: dict[str, Any] = relay.store.get("state/n1/overrides") or {}
    return state.get("words")


def unix_time_ms() -> float:
    return time.time() * 1000.0


def operation_now(
    override_id: str, payload: OverridePayload | None = None, **fields: Any
) -> OverrideOperation:
    now_ms = unix_time_ms()
    return make_operation(
        override_id, payload, **{"created_at_ms": now_ms, "expires_at_ms": now_ms + HOUR_MS, **fields}
    )


def put_operation(relay: Relay, operation: OverrideOperation) -> None:
    """Write an operation to a relay's store, signed by its operator."""
    relay.store.put(*signed_record(operation))


def set_now(relay: Relay, override_id: str, payload: OverridePayload, **fields: Any) -> None:
    """Set an override at a relay's store from now on, for an hour unless ``fields`` say otherwise."""
    put_operation(relay, operation_now(override_id, payload, **fields))


def revoke_now(relay: Relay, override_id: str) -> None:
    """Revoke at a relay's store an override that has only been set."""
    put_operation(relay, operation_now(override_id, operation_type=OperationType.REVOKE, revision=2))


def public_key_of(name: str) -> str:
    return b64encode(KEYS[name].public_key().public_bytes(Encoding.Raw, PublicFormat.Raw)).decode()


def overrides_section(**values: Any) -> dict[str, Any]:
    """The section of the operator's file; without safety limits unless ``values`` set them."""
    operators = {name: public_key_of(name) for name in KEYS}
    return {"operators": operators, "floor_all": 0, "floor_zone": 0, **values}


@asynccontextmanager
async def relays_with_overrides(
    folder: Path, *scripts: EndpointScript, relays: int = 1, **overrides: Any
) -> AsyncIterator[tuple[list[Relay], list[FakeEndpoint]]]:
    """Relays whose stores are linked, and the endpoints that they share, in the order a, b, c."""
    endpoints = [FakeEndpoint(script) for script in scripts]
    async with AsyncExitStack() as stack:
        names, discovery = await start_endpoints_and_discovery(stack, endpoints)
        (folder / "secret").write_text("word")
        started: list[Relay] = []
        for number in range(relays):
            relay_folder = folder / f"r{number}"
            relay_folder.mkdir(exist_ok=True)
            peers = [replication_address(started[0])] if started else []
            store = {"path": "store", "listen": "127.0.0.1:0", "peers": peers, "secret_file": "../secret"}
            file = relay_folder / "operator.json"
            file.write_text(json.dumps({"store": store, "overrides": overrides_section(**overrides)}))
            config = write_config(
                relay_folder, discovery.address, make_endpoint_list(names), name=f"n{number}"
            )
            environment = {"GW_CONFIG": str(config)}
            relay = Relay(load(environment, str(file)), partial(load, environment, str(file)))
            relay.start()
            stack.push_async_callback(relay.stop)
            started.append(relay)
        for relay in started:
            while relay.endpoint_registry.version != 2:
                await asyncio.sleep(0.01)
        yield started, endpoints


async def count_placed(
    relay: Relay, endpoints: list[FakeEndpoint], count: int = 12, more: str = ""
) -> list[int]:
    """How many of ``count`` requests each endpoint was sent."""
    before = [len(endpoint.request_lines) for endpoint in endpoints]
    for number in range(count):
        reader, writer = await send_request(
            relay.listener.address, encode_request_line(extra_parameters=more, key=f"p{number}")
        )
        assert (await reader.readline()).startswith(b"UP")
        writer.close()
    return [
        len(endpoint.request_lines) - lines_before
        for endpoint, lines_before in zip(endpoints, before, strict=True)
    ]
