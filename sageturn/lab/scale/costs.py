"""What single parts of a relay's control cost, by their size: one core, in one process, mostly no sockets.

Each cost is measured at several sizes and fitted; ``docs/CAPACITY.md`` says what follows at the size that is
designed for. Processor times are the least of some repeats, so that what runs beside counts for little.
"""

from __future__ import annotations

import asyncio
import gc
import json
import threading
import time
import tracemalloc
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import Future
from importlib.util import find_spec
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from typing import Any

from sageturn import decision
from sageturn.core.close_reason import CloseReason
from sageturn.core.connection_record import ConnectionRecord as Ended
from sageturn.core.messages import ClientRequest
from sageturn.decision import DiscoveryFailure
from sageturn.decision.balancer import Balancer
from sageturn.decision.discovery_backoff import DiscoveryBackoff
from sageturn.flows.exporter import to_flow
from sageturn.lab.scale.digests import MAX_FRAME_BYTES, LinkOptions, missing_from
from sageturn.lab.scale.fit import exponent, fit
from sageturn.lab.scale.members import Location, make_replication, preload
from sageturn.net.admission import AdmissionController, ProcessLimits
from sageturn.net.endpoint_list import parse_endpoint_list
from sageturn.store.channel import read_secret
from sageturn.store.replication.ephemeral_client import open_ephemeral_client
from sageturn.store.store import Store

Line = dict[str, Any]

REPEATS = 5
SECRET = "costs"
PATIENCE_MS = 3000.0  # after which discovery fails a call


def least_s(call: Callable[[], object], repeats: int = REPEATS) -> float:
    """Processor time of the fastest of some calls."""
    found = []
    for _ in range(repeats):
        began_s = time.process_time()
        call()
        found.append(time.process_time() - began_s)
    return min(found)


def filled(keys: int) -> Store:
    store = Store("r0001")
    store.merge(preload(keys))
    return store


# ---------------------------------------------------------------- the store


def store_memory(keys: int) -> Line:
    """Octets that Python holds for each key of a copy whose records came over a link."""
    text = json.dumps([record.to_json() for record in preload(keys)])
    from sageturn.store.records import parse_record

    gc.collect()
    tracemalloc.start()
    store = Store("r0001")
    store.merge(parse_record(obj) for obj in json.loads(text))
    gc.collect()
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {"octets": held, "kept": len(store.keys())}


def store_digest(keys: int) -> Line:
    """One digest: made and written by one side, read and compared by the other."""
    store = filled(keys)
    text = json.dumps({"digest": store.digest()}, separators=(",", ":"))

    def write() -> None:
        json.dumps({"digest": store.digest()}, separators=(",", ":")).encode()

    def compare() -> None:
        told = {str(k): (int(v[0]), str(v[1])) for k, v in json.loads(text)["digest"].items()}
        missing_from(store, told)
        mine = store.digest()
        all(k in mine and mine[k] >= order for k, order in told.items())

    return {
        "octets": len(text),
        "write_s": least_s(write),
        "compare_s": least_s(compare),
        "frame_part": len(text) / MAX_FRAME_BYTES,
    }


def store_log(keys: int) -> Line:
    """Octets on the disk, time to read them at a start, and one change made durable there."""
    with TemporaryDirectory(prefix="sageturn-costs-") as folder:
        path = Path(folder) / "log"
        store = Store("r0001", path)
        store.merge(preload(keys))
        octets = path.stat().st_size
        began_s = time.perf_counter()
        for number in range(20):
            store.put("change", number)
        put_s = (time.perf_counter() - began_s) / 20
        store.close()
        read_s = least_s(lambda: Store("r0001", path).close(), 3)
    return {"octets": octets, "put_s": put_s, "read_s": read_s}


def operator_command(keys: int) -> Line:
    """``sageturn store --connect``: a copy for a moment. In one process, so both sides' work is in it."""
    ready: Future[tuple[str, int]] = Future()
    over = threading.Event()

    async def serve() -> None:
        loop = asyncio.get_running_loop()
        # The spread that the command speaks is the program's own.
        spread = "delta" if find_spec("sageturn.store.replication") else "digest"
        options = LinkOptions(("127.0.0.1", 0), (), read_secret(SECRET))
        location = Location("r0001", "z0", "g0")
        spreader = make_replication(
            spread, filled(keys), options, AdmissionController(ProcessLimits(1024, 1024.0)), location
        )
        spreader.start()
        ready.set_result(spreader.address)
        await loop.run_in_executor(None, over.wait)
        await spreader.stop()

    thread = threading.Thread(target=asyncio.run, args=(serve(),))
    thread.start()
    try:
        address = ready.result(60.0)
        began_s = time.perf_counter()
        copied_s, key_count = asyncio.run(_read_and_write(address))
        done_s = time.perf_counter()
        return {"copied_s": copied_s - began_s, "done_s": done_s - began_s, "kept": key_count}
    finally:
        over.set()
        thread.join()


async def _read_and_write(address: tuple[str, int]) -> tuple[float, int]:
    """The moment at which the copy was complete, and how many keys were in it."""
    async with open_ephemeral_client(address, read_secret(SECRET)) as store:
        copied_s = time.perf_counter()
        key_count = len(store.keys("shards/"))
        store.put("change", 1)
    return copied_s, key_count


# ---------------------------------------------------------------- list, module, flows


def _list(hosts: int) -> Line:
    return {
        "version": 1,
        "full": True,
        "servers": [
            {
                "id": f"h{n:05d}",
                "addr": f"10.0.{n // 256}.{n % 256}:8081",
                "zone": f"z{n % 5}",
                "kind": "c2-std",
                "cell": 0,
                "state": "ready",
                "weight": 1.0,
                "started_ms": 0,
            }
            for n in range(hosts)
        ],
    }


def list_reading(hosts: int) -> Line:
    text = json.dumps(_list(hosts))
    return {"octets": len(text), "read_s": least_s(lambda: parse_endpoint_list(json.loads(text)))}


def decisions(hosts: int) -> Line:
    """A request's events at the module: asked, up, ended; and a word of the list on one host."""
    settings = decision.Settings(
        classes=(decision.RequestClass("c", latency_objective_ms=500.0),),
        tenants=(decision.Tenant("t", 1e9, 1e9),),
        relay_count=460,
        discovery="push",
    )
    balancer = Balancer(settings, 1)
    listed = parse_endpoint_list(_list(hosts))
    read_s = least_s(lambda: balancer.handle(0.0, decision.EndpointListEvent("full", listed.endpoints)), 1)
    sent = 0

    def requests(first: int, count: int) -> None:
        nonlocal sent
        for number in range(first, first + count):
            now_ms = 1000.0 + number * 4.0
            acts = balancer.handle(
                now_ms, decision.RequestArrived(number, "c", "t", deadline_ms=now_ms + 2000.0)
            )
            chosen = next((a.endpoint for a in acts if isinstance(a, decision.PlaceRequest)), None)
            if chosen is not None:
                sent += 1
                balancer.handle(now_ms + 1.0, decision.ConnectionEstablished(number, 0, chosen))
                balancer.handle(now_ms + 2.0, decision.AttemptEnded(number, 0, chosen, "ok", final=True))

    count = 400
    requests(0, count)
    batches = iter(range(1, 100))
    each_s = least_s(lambda: requests(next(batches) * count, count), 3) / count
    one = [decision.Endpoint("h00001", "draining", zone="z1")]
    change_s = least_s(lambda: balancer.handle(1e6, decision.EndpointListEvent("changes", one)))
    return {"request_s": each_s, "list_s": read_s, "change_s": change_s, "sent": sent / (4 * count)}


def flow_record(name_length: int) -> Line:
    """What the flows' collector is fed for one ended connection; class and tenant of that length."""
    ask = ClientRequest("c" * name_length, "t" * name_length, 2000.0)
    ended = Ended(ask, 1.0, client_address=("10.0.0.1", 40000))
    ended.endpoint, ended.endpoint_address, ended.ended_ms = "h", ("10.0.0.2", 8081), 2.0
    ended.close_reason = CloseReason.MOVED
    count = 1000

    def encode() -> None:
        for _ in range(count):
            to_flow(ended).encode()

    return {"octets": len(to_flow(ended).encode()), "encode_s": least_s(encode) / count}


# ---------------------------------------------------------------- discovery's calls, in simulated time


def list_calls(relays: int, service_ms: float, lost: bool, seed: int) -> Line:
    """All relays want the list at once: after all watches broke (``lost``), or after a common start.

    Discovery works on one call after another, also on those that have given up, and fails each that has
    waited ``PATIENCE_MS``. Simulated time; each relay's pace is the program's own.
    """
    import heapq

    paces = [DiscoveryBackoff(relays, 10_000.0, Random(seed * 10_000 + k)) for k in range(relays)]
    events: list[tuple[float, int, str, int, int]] = []
    order = calls = failed = 0

    def at(due_ms: float, what: str, relay: int, call: int) -> None:
        nonlocal order
        order += 1
        heapq.heappush(events, (due_ms, order, what, relay, call))

    for relay, pace in enumerate(paces):
        at(
            pace.retry_delay_ms(0.0, DiscoveryFailure.SILENT) if lost else pace.first_call_delay_ms(),
            "call",
            relay,
            0,
        )
    free_ms, told, over = 0.0, dict[int, float](), set[int]()
    asked: list[float] = []
    while events and len(told) < relays:
        now_ms, _, what, relay, call = heapq.heappop(events)
        if what == "call":
            calls += 1
            asked.append(now_ms)
            free_ms = max(free_ms, now_ms) + service_ms
            at(now_ms + PATIENCE_MS, "failed", relay, calls)
            at(free_ms, "answered", relay, calls)
        elif call not in over:
            over.add(call)
            if what == "answered":
                told[relay] = now_ms
                paces[relay].on_success()
            else:
                failed += 1
                at(
                    now_ms + paces[relay].retry_delay_ms(now_ms, DiscoveryFailure.OVERLOADED),
                    "call",
                    relay,
                    0,
                )
    times = sorted(told.values())
    busiest = max(sum(a <= t < a + 1000.0 for t in asked) for a in asked[:relays])
    return {
        "p50_s": times[(len(times) - 1) // 2] / 1e3,
        "p99_s": times[int(0.99 * (len(times) - 1))] / 1e3,
        "last_s": times[-1] / 1e3,
        "calls": calls,
        "failed": failed,
        "busiest_s": busiest,
    }


# ---------------------------------------------------------------- all of them

KEYS = (1000, 3000, 10_000, 27_000, 60_000, 100_000)
HOSTS = (90, 300, 1000, 3000, 10_000)
RELAYS = (50, 115, 230, 460, 920)

# name: the measure, its sizes, and which of its fields are fitted
PARTS: dict[str, tuple[Callable[[int], Line], tuple[int, ...], tuple[str, ...]]] = {
    "store_memory": (store_memory, KEYS, ("octets",)),
    "store_digest": (store_digest, KEYS, ("octets", "write_s", "compare_s")),
    "store_log": (store_log, KEYS, ("octets", "read_s")),
    "operator_command": (operator_command, KEYS[:-1], ("copied_s",)),
    "list_reading": (list_reading, HOSTS, ("octets", "read_s")),
    "decisions": (decisions, HOSTS, ("request_s", "list_s", "change_s")),
    "flow_record": (flow_record, (4, 8, 16, 32), ("octets",)),
}


def run_costs(only: Iterable[str] = ()) -> Iterator[Line]:
    """A line for each part and size, and after each part its fits."""
    chosen = set(only) or {*PARTS, "list_calls"}
    for name, (measure, sizes, fields) in PARTS.items():
        if name not in chosen:
            continue
        found = []
        for size in sizes:
            found.append({"size": size, **measure(size)})
            yield {"part": name, **found[-1]}
        for field in fields:
            yield {"part": name, "fit": field, **fitted(sizes, [line[field] for line in found])}
    if "list_calls" in chosen:
        for lost in (True, False):
            for service_ms in (2.0, 13.0, 46.0, 130.0):
                for relays in RELAYS:
                    told = list_calls(relays, service_ms, lost, 33)
                    yield {
                        "part": "list_calls",
                        "size": relays,
                        "service_ms": service_ms,
                        "lost": lost,
                        "simulated": True,
                        **told,
                    }


def fitted(sizes: Iterable[int], values: list[float]) -> Line:
    """A line through all sizes, and how it grows in truth."""
    x = [float(size) for size in sizes]
    line = fit(("1", "n"), [[1.0, n] for n in x], values)
    power = exponent(x, values)
    return {**line.to_json(), "exponent": [round(v, 3) for v in (power.value, power.low, power.high)]}
