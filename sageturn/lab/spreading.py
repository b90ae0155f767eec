"""Measures what the store's spread costs on one link, beside the exchange of whole digests before it.

    python -m sageturn.lab.spreading                # 100 to 100,000 keys

Two copies on loopback, in one process: octets are those of the frames, keyed hashes with them, and processor
time is that of both sides halved. The digests of old are made, packed, read and compared as it was done, each
2 s on each side, over the same records in the same run.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import time
from random import Random
from typing import Any

import uvloop

from sageturn.lab.result_table import print_table
from sageturn.net.admission import AdmissionController, ProcessLimits
from sageturn.store.channel import read_secret
from sageturn.store.replication.member import ReplicationMember
from sageturn.store.replication.options import ReplicationOptions
from sageturn.store.store import Store

DIGEST_S = 2.0  # how often a digest was sent
DIGEST_TAG = 36
SECRET = read_secret("lab")


def _node(name: str, *seeds: tuple[str, int]) -> ReplicationMember:
    options = ReplicationOptions(("127.0.0.1", 0), seeds, SECRET, max_bytes_per_s=1e8)
    node = ReplicationMember(
        Store(name), options, AdmissionController(ProcessLimits(64, 192.0)), Random(name)
    )
    node.start()
    return node


def _digests(store: Store) -> tuple[float, float]:
    """Octets a second, and parts of a core, of one side."""
    began = time.process_time()
    payload = json.dumps({"digest": store.digest()}, separators=(",", ":")).encode()
    digest = {str(k): (int(v[0]), str(v[1])) for k, v in json.loads(payload)["digest"].items()}
    missing = [r for r in store.records() if r.key not in digest or digest[r.key] < r.order]
    mine = store.digest()
    assert not missing and all(k in mine and mine[k] >= order for k, order in digest.items())
    return (len(payload) + DIGEST_TAG) / DIGEST_S, (time.process_time() - began) / DIGEST_S


async def _until(condition: Any) -> float:
    began = time.monotonic()
    while not condition():
        await asyncio.sleep(0.002)
    return time.monotonic() - began


async def _measure(keys: int, seconds: float) -> dict[str, Any]:
    one = _node("one")
    for number in range(keys):
        one.replica.store.put(f"config/shard/{number}", {"host": f"s-{number % 97}", "epoch": number})
    two = _node("two", one.address)
    nodes = one, two
    await _until(lambda: one.link_count and two.link_count)
    began = time.process_time()
    snapshot_s = await _until(lambda: one.replica.changes.roots == two.replica.changes.roots)
    snapshot_cpu, snapshot = time.process_time() - began, one.replica.budget.consumed_bytes
    await _until(lambda: all(node.replica.sessions[0].delivered for node in nodes))
    octets, began = [node.replica.budget.consumed_bytes for node in nodes], time.process_time()
    await asyncio.sleep(seconds)
    idle = [
        (node.replica.budget.consumed_bytes - was) / seconds for node, was in zip(nodes, octets, strict=True)
    ]
    core = (time.process_time() - began) / seconds / 2
    changes = []
    for number in range(20):
        was = one.replica.budget.consumed_bytes
        one.replica.store.put(f"config/shard/{number}", {"host": "s-0", "epoch": -number})
        key = f"config/shard/{number}"
        await _until(lambda key=key, n=number: (two.replica.store.get(key) or {}).get("epoch") == -n)
        changes.append(one.replica.budget.consumed_bytes - was)
    old_octets, old_core = _digests(one.replica.store)
    for node in nodes[::-1]:
        await node.stop()
    return {
        "idle octets/s": round(sum(idle) / 2),
        "idle core": f"{core:.3%}",
        "digests octets/s": round(old_octets),
        "digests core": f"{old_core:.3%}",
        "a change, octets": sorted(changes)[10],
        "snapshot": f"{snapshot} octets, {snapshot_s:.2f} s, {snapshot_cpu:.2f} s of a core",
    }


def main() -> None:
    parser = argparse.ArgumentParser(prog="sageturn.lab.spreading", description=__doc__)
    parser.add_argument("--keys", default="100,1000,10000,27000,100000")
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    rows = {
        f"{keys} keys": uvloop.run(_measure(keys, options.seconds))
        for keys in map(int, options.keys.split(","))
    }
    for name, row in rows.items():
        print_table(f"spread: {name}", {"": row}, options.json)


if __name__ == "__main__":
    main()
