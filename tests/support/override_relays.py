"""Running relays with overrides, linked stores and common endpoints."""

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
from support.override_records import HOUR_MS, PRIVATE_KEYS, make_operation, make_signed_record

from sageturn.config.loader import load
from sageturn.net.json_stream import JsonObject
from sageturn.overrides.actor import OverrideActor
from sageturn.overrides.operations import OperationType, OverrideOperation, OverridePayload
from sageturn.relay import Relay


def replication_address(relay: Relay) -> str:
    """Return the address at which the relay's replication listens, ``host:port``; fail if it has none."""
    assert relay.replication is not None
    return "{}:{}".format(*relay.replication.address)


def override_actor(relay: Relay) -> OverrideActor:
    """Return the actor that applies overrides in ``relay``; fail if overrides are not configured."""
    assert relay.overrides is not None
    return relay.overrides


def operator_names(relay: Relay) -> Set[str]:
    """Return the names of the operators whose overrides ``relay`` is configured to accept."""
    options = relay.config.operator.overrides
    assert options is not None
    return options.operators.keys()


def reported_revisions(relay: Relay) -> dict[str, int] | None:
    """Return the revisions of overrides that relay n1 has reported, as received by ``relay``.

    Return None if no report has been received.
    """
    state: dict[str, Any] = relay.store.get("state/n1/overrides") or {}
    return state.get("words")


def unix_time_ms() -> float:
    """Return the wall clock's time in milliseconds of Unix time."""
    return time.time() * 1000.0


def make_current_operation(
    override_id: str, payload: OverridePayload | None = None, **fields: Any
) -> OverrideOperation:
    """Return an operation that by default is created now and expires in an hour."""
    now_ms = unix_time_ms()
    return make_operation(
        override_id, payload, **{"created_at_ms": now_ms, "expires_at_ms": now_ms + HOUR_MS, **fields}
    )


def put_operation(relay: Relay, operation: OverrideOperation) -> None:
    """Write an operation to a relay's store, signed by its operator."""
    relay.store.put(*make_signed_record(operation))


def set_override(relay: Relay, override_id: str, payload: OverridePayload, **fields: Any) -> None:
    """Set an override in a relay's store; by default it expires in an hour."""
    put_operation(relay, make_current_operation(override_id, payload, **fields))


def revoke_override(relay: Relay, override_id: str) -> None:
    """Revoke an override at revision 1 in a relay's store."""
    put_operation(relay, make_current_operation(override_id, operation_type=OperationType.REVOKE, revision=2))


def encode_public_key(operator: str) -> str:
    """Return the operator's public key in base64, as written in the operator's file."""
    return b64encode(
        PRIVATE_KEYS[operator].public_key().public_bytes(Encoding.Raw, PublicFormat.Raw)
    ).decode()


def make_overrides_section(**values: object) -> JsonObject:
    """Return the ``overrides`` section of the operator's file; ``values`` may set safety limits."""
    operators = {name: encode_public_key(name) for name in PRIVATE_KEYS}
    return {"operators": operators, "floor_all": 0, "floor_zone": 0, **values}


@asynccontextmanager
async def running_relays_with_overrides(
    folder: Path, *scripts: EndpointScript, relays: int = 1, **overrides: object
) -> AsyncIterator[tuple[list[Relay], list[FakeEndpoint]]]:
    """Run relays with linked stores and common endpoints, named a, b, c in order."""
    endpoints = [FakeEndpoint(script) for script in scripts]
    async with AsyncExitStack() as stack:
        addresses, discovery = await start_endpoints_and_discovery(stack, endpoints)
        (folder / "secret").write_text("shared secret")
        started: list[Relay] = []
        for number in range(relays):
            relay_folder = folder / f"r{number}"
            relay_folder.mkdir(exist_ok=True)
            peers = [replication_address(started[0])] if started else []
            store = {"path": "store", "listen": "127.0.0.1:0", "peers": peers, "secret_file": "../secret"}
            file = relay_folder / "operator.json"
            file.write_text(json.dumps({"store": store, "overrides": make_overrides_section(**overrides)}))
            config = write_config(
                relay_folder, discovery.address, make_endpoint_list(addresses), name=f"n{number}"
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


async def count_placements(
    relay: Relay, endpoints: list[FakeEndpoint], count: int = 12, extra_parameters: str = ""
) -> list[int]:
    """Send ``count`` requests to ``relay``, and return the number that each endpoint received."""
    before = [len(endpoint.request_lines) for endpoint in endpoints]
    for number in range(count):
        reader, writer = await send_request(
            relay.listener.address, encode_request_line(extra_parameters=extra_parameters, key=f"p{number}")
        )
        assert (await reader.readline()).startswith(b"UP")
        writer.close()
    return [
        len(endpoint.request_lines) - lines_before
        for endpoint, lines_before in zip(endpoints, before, strict=True)
    ]
