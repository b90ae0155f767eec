"""Costs of the store by the number of keys: memory, digests, the log, and an operator's command.

The encoded field names of the structs are the keys of a cost line.
"""

from __future__ import annotations

import asyncio
import gc
import json
import threading
import time
import tracemalloc
from concurrent.futures import Future
from importlib.util import find_spec
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import NamedTuple

from msgspec import Struct, field

from sageturn.lab.scale.cost_measurement import make_store, min_cpu_s
from sageturn.lab.scale.digest_replication import MAX_FRAME_BYTES, LinkOptions, missing_from
from sageturn.lab.scale.members import Location, make_replication, preload
from sageturn.lab.scale.plan import Spread
from sageturn.net.admission import AdmissionController, ProcessLimits
from sageturn.store.channel import read_secret
from sageturn.store.records import parse_record
from sageturn.store.replication.ephemeral_client import open_ephemeral_client
from sageturn.store.store import Store

Address = tuple[str, int]

SECRET = "costs"
SERVER_START_TIMEOUT_S = 60.0
LOG_PUT_COUNT = 20
LOG_READ_REPEATS = 3


class MemoryCost(Struct, frozen=True):
    """Memory of a copy in bytes, and the number of its records."""

    byte_count: int = field(name="octets")
    record_count: int = field(name="kept")


class DigestCost(Struct, frozen=True):
    """Size of a digest, the processor times to write and compare it, and its ratio to the maximum frame."""

    byte_count: int = field(name="octets")
    write_s: float
    compare_s: float
    frame_ratio: float = field(name="frame_part")


class LogCost(Struct, frozen=True):
    """Size of a log, the time to make one change durable, and the processor time to read the log."""

    byte_count: int = field(name="octets")
    put_s: float
    read_s: float


class CommandCost(Struct, frozen=True):
    """Times until a command has a complete copy and until it ends, and the number of the copy's records."""

    copied_s: float
    done_s: float
    record_count: int = field(name="kept")


def store_memory(key_count: int) -> MemoryCost:
    """Measure the Python memory of a copy whose records were parsed from JSON, as those of a link are."""
    text = json.dumps([record.to_json() for record in preload(key_count)])
    gc.collect()
    tracemalloc.start()
    store = Store("r0001")
    store.merge(parse_record(obj) for obj in json.loads(text))
    gc.collect()
    byte_count, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return MemoryCost(byte_count, len(store.keys()))


def store_digest(key_count: int) -> DigestCost:
    """Measure the exchange of one digest: one end makes and writes it, the other reads and compares it."""
    store = make_store(key_count)
    text = json.dumps({"digest": store.digest()}, separators=(",", ":"))

    def write() -> None:
        json.dumps({"digest": store.digest()}, separators=(",", ":")).encode()

    def compare() -> None:
        received = {
            str(key): (int(order[0]), str(order[1])) for key, order in json.loads(text)["digest"].items()
        }
        missing_from(store, received)
        own_digest = store.digest()
        all(key in own_digest and own_digest[key] >= order for key, order in received.items())

    return DigestCost(
        byte_count=len(text),
        write_s=min_cpu_s(write),
        compare_s=min_cpu_s(compare),
        frame_ratio=len(text) / MAX_FRAME_BYTES,
    )


def store_log(key_count: int) -> LogCost:
    """Measure the log's size on disk, reading it at startup, and a durable change."""
    with TemporaryDirectory(prefix="sageturn-costs-") as folder:
        path = Path(folder) / "log"
        store = Store("r0001", path)
        store.merge(preload(key_count))
        byte_count = path.stat().st_size
        began_s = time.perf_counter()
        for number in range(LOG_PUT_COUNT):
            store.put("change", number)
        put_s = (time.perf_counter() - began_s) / LOG_PUT_COUNT
        store.close()
        read_s = min_cpu_s(lambda: Store("r0001", path).close(), LOG_READ_REPEATS)
    return LogCost(byte_count, put_s, read_s)


# ---------------------------------------------------------------- an operator's command


def operator_command(key_count: int) -> CommandCost:
    """Measure ``sageturn store --connect``, which makes an ephemeral copy; both ends run in this process."""
    address: Future[Address] = Future()
    finished = threading.Event()
    thread = threading.Thread(target=asyncio.run, args=(_serve_store(key_count, address, finished),))
    thread.start()
    try:
        server_address = address.result(SERVER_START_TIMEOUT_S)
        began_s = time.perf_counter()
        copied = asyncio.run(_read_and_write(server_address))
        done_s = time.perf_counter()
        return CommandCost(copied.complete_s - began_s, done_s - began_s, copied.record_count)
    finally:
        finished.set()
        thread.join()


async def _serve_store(key_count: int, address: Future[Address], finished: threading.Event) -> None:
    """Serve a store over the replication that the command uses until ``finished`` is set."""
    spread = Spread.DELTA if find_spec("sageturn.store.replication") else Spread.DIGEST
    replication = make_replication(
        spread,
        make_store(key_count),
        LinkOptions(("127.0.0.1", 0), (), read_secret(SECRET)),
        AdmissionController(ProcessLimits(1024, 1024.0)),
        Location("r0001", "z0", "g0"),
    )
    replication.start()
    address.set_result(replication.address)
    await asyncio.get_running_loop().run_in_executor(None, finished.wait)
    await replication.stop()


class _CompleteCopy(NamedTuple):
    """Time at which a copy was complete, and the number of its records."""

    complete_s: float
    record_count: int


async def _read_and_write(address: Address) -> _CompleteCopy:
    """Copy the store at ``address`` and put a change there."""
    async with open_ephemeral_client(address, read_secret(SECRET)) as store:
        copied_s = time.perf_counter()
        record_count = len(store.keys("shards/"))
        store.put("change", 1)
    return _CompleteCopy(copied_s, record_count)
