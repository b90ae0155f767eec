"""What the store's parts cost by the number of keys: memory, digests, the log, and an operator's command."""

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
from typing import Any

from sageturn.lab.scale.cost_measuring import make_store, min_cpu_s
from sageturn.lab.scale.digests import MAX_FRAME_BYTES, LinkOptions, missing_from
from sageturn.lab.scale.members import Location, make_replication, preload
from sageturn.net.admission import AdmissionController, ProcessLimits
from sageturn.store.channel import read_secret
from sageturn.store.records import parse_record
from sageturn.store.replication.ephemeral_client import open_ephemeral_client
from sageturn.store.store import Store

Address = tuple[str, int]
Line = dict[str, Any]

SECRET = "costs"
SERVER_START_TIMEOUT_S = 60.0
LOG_PUT_COUNT = 20
LOG_READ_REPEATS = 3


def store_memory(keys: int) -> Line:
    """Bytes that Python holds for a copy whose records came over a link."""
    text = json.dumps([record.to_json() for record in preload(keys)])
    gc.collect()
    tracemalloc.start()
    store = Store("r0001")
    store.merge(parse_record(obj) for obj in json.loads(text))
    gc.collect()
    byte_count, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {"octets": byte_count, "kept": len(store.keys())}


def store_digest(keys: int) -> Line:
    """Exchanges one digest: one side makes and writes it, the other reads and compares it."""
    store = make_store(keys)
    text = json.dumps({"digest": store.digest()}, separators=(",", ":"))

    def write() -> None:
        json.dumps({"digest": store.digest()}, separators=(",", ":")).encode()

    def compare() -> None:
        received = {
            str(key): (int(order[0]), str(order[1])) for key, order in json.loads(text)["digest"].items()
        }
        missing_from(store, received)
        own = store.digest()
        all(key in own and own[key] >= order for key, order in received.items())

    return {
        "octets": len(text),
        "write_s": min_cpu_s(write),
        "compare_s": min_cpu_s(compare),
        "frame_part": len(text) / MAX_FRAME_BYTES,
    }


def store_log(keys: int) -> Line:
    """Bytes on the disk, time to read them at a start, and time to make one change durable there."""
    with TemporaryDirectory(prefix="sageturn-costs-") as folder:
        path = Path(folder) / "log"
        store = Store("r0001", path)
        store.merge(preload(keys))
        byte_count = path.stat().st_size
        began_s = time.perf_counter()
        for number in range(LOG_PUT_COUNT):
            store.put("change", number)
        put_s = (time.perf_counter() - began_s) / LOG_PUT_COUNT
        store.close()
        read_s = min_cpu_s(lambda: Store("r0001", path).close(), LOG_READ_REPEATS)
    return {"octets": byte_count, "put_s": put_s, "read_s": read_s}


# ---------------------------------------------------------------- an operator's command


def operator_command(keys: int) -> Line:
    """``sageturn store --connect``: a short-lived copy. In one process, so both sides' work is in it."""
    address: Future[Address] = Future()
    finished = threading.Event()
    thread = threading.Thread(target=asyncio.run, args=(_serve_store(keys, address, finished),))
    thread.start()
    try:
        server_address = address.result(SERVER_START_TIMEOUT_S)
        began_s = time.perf_counter()
        copied_s, key_count = asyncio.run(_read_and_write(server_address))
        done_s = time.perf_counter()
        return {"copied_s": copied_s - began_s, "done_s": done_s - began_s, "kept": key_count}
    finally:
        finished.set()
        thread.join()


async def _serve_store(keys: int, address: Future[Address], finished: threading.Event) -> None:
    """A member that replicates as the program's own does, which is what the command speaks."""
    spread = "delta" if find_spec("sageturn.store.replication") else "digest"
    replication = make_replication(
        spread,
        make_store(keys),
        LinkOptions(("127.0.0.1", 0), (), read_secret(SECRET)),
        AdmissionController(ProcessLimits(1024, 1024.0)),
        Location("r0001", "z0", "g0"),
    )
    replication.start()
    address.set_result(replication.address)
    await asyncio.get_running_loop().run_in_executor(None, finished.wait)
    await replication.stop()


async def _read_and_write(address: Address) -> tuple[float, int]:
    """The moment at which the copy was complete, and how many keys were in it."""
    async with open_ephemeral_client(address, read_secret(SECRET)) as store:
        copied_s = time.perf_counter()
        key_count = len(store.keys("shards/"))
        store.put("change", 1)
    return copied_s, key_count
