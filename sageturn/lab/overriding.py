"""Measures operators' overrides.

python -m sageturn.lab.overriding obeying       # 3 relays, their stores linked, under steady load
python -m sageturn.lab.overriding resolution    # 5,000 hosts and 500 overrides
python -m sageturn.lab.overriding cost          # of a request, with no override set
"""

from __future__ import annotations

import argparse
import asyncio
import time
from base64 import b64encode
from dataclasses import replace
from pathlib import Path
from typing import Any

import numpy as np
import uvloop
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from cryptography.hazmat.primitives.serialization import Encoding, PublicFormat

from sageturn import decision
from sageturn.core.balancer_actor import BalancerActor
from sageturn.core.clock import Clock
from sageturn.lab.fleet_spec import FleetSpec
from sageturn.lab.loopback_runner import deployed, reserve_port
from sageturn.lab.result_table import print_table
from sageturn.overrides.actor import OverrideActor
from sageturn.overrides.model import fold_operations
from sageturn.overrides.operations import (
    OperationType,
    OverrideKind,
    OverrideOperation,
    OverridePayload,
    Selector,
    SelectorAttribute,
    new_nonce,
    new_override_id,
)
from sageturn.overrides.options import OverrideOptions, SafetyLimits
from sageturn.overrides.resolver import OverrideResolver
from sageturn.overrides.signing import sign_operation
from sageturn.store.channel import read_secret
from sageturn.store.replication.ephemeral_client import open_ephemeral_client
from sageturn.store.store import Store

KEY = Ed25519PrivateKey.generate()
HOUR_MS = 3_600_000.0
KNOWN_MS = 500.0  # after it knew, a relay may place nothing there


def word(
    override: str, body: OverridePayload | None, revision: int = 1, at_ms: float | None = None
) -> OverrideOperation:
    at_ms = time.time() * 1000.0 if at_ms is None else at_ms
    what, until_ms = (OperationType.SET, at_ms + HOUR_MS) if body is not None else (OperationType.REVOKE, 0.0)
    return OverrideOperation(
        override, what, revision, at_ms, "lab", "measured", until_ms, body, nonce=new_nonce()
    )


# ---------------------------------------------------------------- obeying


async def _obeying(rounds: int) -> dict[str, Any]:
    spec = FleetSpec(relays=3, hosts=12, early=12, connections=600, life_s=6.0)
    reserved = [reserve_port() for _ in range(spec.relays)]
    ports = [port for _, port in reserved]
    public = b64encode(KEY.public_key().public_bytes(Encoding.Raw, PublicFormat.Raw)).decode()

    def more(relay: int, folder: Path) -> dict[str, Any]:
        (folder / "secret").write_text("lab")
        peers = [f"127.0.0.1:{port}" for port in ports if port != ports[relay]]
        store = {"path": "store", "listen": f"127.0.0.1:{ports[relay]}", "peers": peers}
        return {
            "store": {**store, "secret_file": "secret"},
            "overrides": {"operators": {"lab": public}},
        }

    took: list[float] = []
    placed_late = placed = 0
    async with deployed(spec, "off", {}, more) as deployment:
        playing = asyncio.ensure_future(deployment.play(rounds * 3.0 + 20.0))
        await asyncio.sleep(3.0)
        async with open_ephemeral_client(("127.0.0.1", ports[0]), read_secret("lab"), 10.0) as store:
            for _ in range(rounds):
                # One host over and over: it comes back cold each time, and the others have to be warm.
                host = deployment.hosts[0]
                op = word(
                    new_override_id("out"),
                    OverridePayload(
                        OverrideKind.OUT_OF_SERVICE, Selector(SelectorAttribute.ENDPOINT, host.model.name)
                    ),
                )
                began_s = time.monotonic()
                store.put(op.key, sign_operation(op, KEY))
                await _told_by_all(store, spec.relays, op)
                known_s = time.monotonic()
                took.append((known_s - began_s) * 1000.0)
                await asyncio.sleep(1.5)
                # The state comes back later than the relay knew: what counts is counted too strictly here.
                placed_late += sum(at > known_s + KNOWN_MS / 1000.0 for at in host.opened)
                placed += sum(at > began_s for d in deployment.hosts for at in d.opened)
                op = word(op.override_id, None, 2)
                store.put(op.key, sign_operation(op, KEY))
                await _told_by_all(store, spec.relays, op)
        playing.cancel()
        await asyncio.wait((playing,))
        seen = deployment.seen.counts
    return {
        "rounds": rounds,
        "set to the last relay's word of it, p50 ms": round(float(np.percentile(took, 50)), 1),
        "p99 ms": round(float(np.percentile(took, 99)), 1),
        "requests placed meanwhile": placed,
        "on an out-of-service host over 500 ms after": placed_late,
        "unanswered": seen["unanswered"],
        "errors": seen["error"],
        "refused": seen["busy"],
    }


async def _told_by_all(store: Store, relays: int, op: OverrideOperation) -> None:
    async with asyncio.timeout(10.0):
        while True:
            states = [store.get(f"state/r{n}/overrides") for n in range(relays)]
            if all(state and state["words"].get(op.override_id) == op.revision for state in states):
                return
            await asyncio.sleep(0.001)


# ---------------------------------------------------------------- resolution


def _resolution() -> dict[str, Any]:
    rng = np.random.Generator(np.random.PCG64(1))
    hosts = [
        decision.Endpoint(f"h{k}", "ready", f"z{k % 20}", k % 50, 0.0, 1.0, f"k{k % 4}") for k in range(5000)
    ]
    overrides = []
    for n in range(500):
        kind = (OverrideKind.OUT_OF_SERVICE, OverrideKind.WEIGHT, OverrideKind.HOLD)[n % 3]
        wide = n % 50 == 0
        selector = (
            Selector(SelectorAttribute.CELL, str(n % 50))
            if wide
            else Selector(SelectorAttribute.ENDPOINT, f"h{int(rng.integers(5000))}")
        )
        body = OverridePayload(kind, selector, factor=0.5 if kind is OverrideKind.WEIGHT else 1.0)
        override = fold_operations([word(f"x{n}", body, 1, n)], 1e12)
        assert override is not None
        overrides.append(override)
    wholes: list[float] = []
    changes: list[float] = []
    for _ in range(10):
        resolver = OverrideResolver(SafetyLimits(0.2, 0.1, 0.0))
        began = time.perf_counter()
        for override in overrides:
            resolver.add(override)
        resolver.apply_endpoint_list(hosts, True)
        wholes.append((time.perf_counter() - began) * 1000.0)
        for override in overrides[::7]:
            # One lapses, and another of its like is set: the newest, as what is set now always is.
            newer = replace(override, id=f"{override.id}-again", created_at_ms=1000.0 + len(changes))
            began = time.perf_counter()
            resolver.remove(override.id)
            changes.append((time.perf_counter() - began) * 1000.0)
            began = time.perf_counter()
            resolver.add(newer)
            changes.append((time.perf_counter() - began) * 1000.0)
    return {
        "hosts": len(hosts),
        "overrides": len(overrides),
        "suspended": len(resolver.suspended),
        "whole, ms (median)": round(float(np.median(wholes)), 1),
        "one change, ms p50": round(float(np.percentile(changes, 50)), 3),
        "one change, ms p99": round(float(np.percentile(changes, 99)), 3),
    }


# ---------------------------------------------------------------- cost


def _cost() -> dict[str, Any]:
    """A request from its arrival to its end in the module's actor, with the companion and without."""

    def run(beside: bool) -> float:
        settings = decision.Settings(classes=(decision.RequestClass("c", 500.0),), groups=True)
        balancer_actor = BalancerActor(settings, 1, Clock(), lambda: None)
        if beside:
            OverrideActor(balancer_actor, OverrideOptions(), Store("lab"), lambda state: None)
        balancer_actor._handle(
            decision.EndpointListEvent("full", [decision.Endpoint(f"h{k}") for k in range(20)])
        )
        sent: list[str] = []
        balancer_actor._instruct = lambda _, what: sent.append(getattr(what, "endpoint", ""))  # type: ignore
        began = time.perf_counter()
        for n in range(20_000):
            balancer_actor._handle(decision.RequestArrived(n, "c", "t", 1e18, f"g{n % 50}"))
            balancer_actor._handle(decision.ConnectionEstablished(n, 0, sent[-1], 20.0))
            balancer_actor._handle(decision.AttemptEnded(n, 0, sent[-1], "ok", True))
        return (time.perf_counter() - began) / 20_000 * 1e6

    pairs = [(run(False), run(True)) for _ in range(7)]
    without, beside = (float(np.median(column)) for column in zip(*pairs, strict=True))
    return {
        "microseconds a request without": round(without, 2),
        "with, and none set": round(beside, 2),
        "more": f"{beside / without - 1.0:+.1%}",
        "spread of seven runs without": f"{max(p[0] for p in pairs) / min(p[0] for p in pairs) - 1.0:.1%}",
    }


def main() -> None:
    parser = argparse.ArgumentParser(prog="sageturn.lab.overriding", description=__doc__)
    parser.add_argument("what", choices=("obeying", "resolution", "cost"))
    parser.add_argument("--rounds", type=int, default=40)
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    row = (
        uvloop.run(_obeying(options.rounds))
        if options.what == "obeying"
        else _resolution()
        if options.what == "resolution"
        else _cost()
    )
    print_table(f"overrides: {options.what}", {"": row}, options.json)


if __name__ == "__main__":
    main()
