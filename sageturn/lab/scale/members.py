"""Members of a scale run: the control part of a relay, without its clients, many to a process."""

from __future__ import annotations

import asyncio
import hashlib
import json
import time
import zlib
from collections.abc import Callable
from dataclasses import dataclass
from importlib import import_module
from random import Random
from typing import TYPE_CHECKING, Any, Protocol

from sageturn.config.settings import read_settings
from sageturn.core.balancer_actor import BalancerActor
from sageturn.core.clock import Clock
from sageturn.core.endpoint_registry import EndpointRegistry
from sageturn.core.messages import EndpointListUpdate, WatchFailed
from sageturn.core.tasks import cancel_and_wait
from sageturn.lab.scale.counting import owned, owning
from sageturn.lab.scale.digests import DigestSpread, LinkOptions
from sageturn.net.admission import AdmissionController, ProcessLimits
from sageturn.net.discovery import DiscoveryClient
from sageturn.store.records import StoreRecord
from sageturn.store.store import Store

if TYPE_CHECKING:
    from sageturn.relay import Relay

CHANGE_KEY_PREFIX = "change/"
KEY_NODE = "r0000"
DESCRIPTORS, MEMORY_MB = 20_000, 4096.0  # the machine's bound is the experiment's, not the admission's


@dataclass(frozen=True, slots=True)
class Place:
    """What a member knows of where it stands; today's spread has no use for it."""

    name: str
    zone: str
    region: str


class Spreader(Protocol):
    """Whatever keeps a store's copy and the others' the same."""

    address: tuple[str, int]

    def start(self) -> None: ...

    async def stop(self) -> None: ...


def _digest(store: Store, options: LinkOptions, admission: AdmissionController, place: Place) -> Spreader:
    return DigestSpread(store, options, admission)


def _delta(store: Store, options: LinkOptions, admission: AdmissionController, place: Place) -> Spreader:
    """What follows it, where the program has it: not every program that is measured does."""
    try:
        member = import_module("sageturn.store.replication.member")
        settled = import_module("sageturn.store.replication.options").ReplicationOptions(
            options.listen, options.peers, options.secret, region=place.region, zone=place.zone
        )
    except ImportError:
        raise ValueError("spread: delta is not in this program") from None
    made: Spreader = member.ReplicationMember(store, settled, admission, Random(f"scale/{place.name}"))
    return made


SPREADS: dict[str, Callable[[Store, LinkOptions, AdmissionController, Place], Spreader]] = {
    "digest": _digest,
    "delta": _delta,
}


def make_spreader(
    spread: str, store: Store, options: LinkOptions, admission: AdmissionController, place: Place
) -> Spreader:
    """The one place where a run's key ``spread`` becomes code. Raises ValueError where it is not there."""
    return SPREADS[spread](store, options, admission, place)


def link_options(job: dict[str, Any], whole: dict[str, Any]) -> LinkOptions:
    return LinkOptions(
        ("127.0.0.1", job["port"]),
        tuple(("127.0.0.1", port) for port in job["peers"]),
        bytes.fromhex(whole["secret"]),
        whole["interval_s"],
    )


def place_of(job: dict[str, Any]) -> Place:
    return Place(job["name"], job["zone"], job["region"])


def preload(keys: int) -> list[StoreRecord]:
    """What stands in every copy from the start: a shard's placement each."""
    return [
        StoreRecord(f"shards/{n:06d}", {"host": f"h{n % 500:04d}", "weight": 1.0}, 1, KEY_NODE)
        for n in range(keys)
    ]


def fill(store: Store, records: list[StoreRecord]) -> None:
    """As in a fleet that has been running: its copies are known to hold all. Those of a fleet that never was
    one have to agree on that first, and each that comes later takes all anew.
    """
    store.merge(records)
    store.set_last_in_sync(store.wall_clock())


def store_hash(store: Store) -> str:
    """Equal for equal copies; what each says of itself in ``state/`` included."""
    text = json.dumps(sorted((k, v[0], v[1]) for k, v in store.digest().items()))
    return hashlib.sha256(text.encode()).hexdigest()[:16]


class Witness:
    """When a copy first held each change, on the machine's monotonic clock, which all processes share."""

    def __init__(self, store: Store, held: dict[str, float]) -> None:
        """``held`` outlives a wiped copy; ``again`` is this copy's own."""
        self.held, self.again = held, dict[str, float]()
        store.on_change.append(self._changed)

    def _changed(self, records: list[StoreRecord]) -> None:
        now_s = time.monotonic()
        for record in records:
            if record.key.startswith(CHANGE_KEY_PREFIX):
                self.held.setdefault(record.key, now_s)
                self.again.setdefault(record.key, now_s)


class Hollow:
    """Store, links, list, pace and accounting as ``Relay`` puts them together; no listener for clients."""

    def __init__(self, job: dict[str, Any], whole: dict[str, Any], records: list[StoreRecord]) -> None:
        self.name: str = job["name"]
        self._job, self._whole = job, whole
        self._records = records
        self.running = False
        self.listed_s = 0.0
        self.lists = self.lists_failed = 0
        self._tasks: list[asyncio.Task[None]] = []
        self.held: dict[str, float] = {}
        self._fresh(records)

    def _fresh(self, records: list[StoreRecord]) -> None:
        self.store = Store(self.name)
        if records:
            fill(self.store, records)
        self.witness = Witness(self.store, self.held)

    def start(self, wipe: bool = False) -> None:
        """After ``stop`` as a process that comes again: with its copy as from its disk, or with none."""
        if wipe:
            self._fresh([])
        job, whole = self._job, self._whole
        self.admission = AdmissionController(ProcessLimits(DESCRIPTORS, MEMORY_MB))
        with owned(job["row"], "store"):
            self.spreader = make_spreader(
                whole["spread"], self.store, link_options(job, whole), self.admission, place_of(job)
            )
            self.spreader.start()
        with owned(job["row"], "list"):
            self.balancer_actor = BalancerActor(
                read_settings(job["settings"]),
                job["seed"],
                Clock(),
                lambda: self.endpoint_registry.request_watch(),
            )
            self.endpoint_registry = EndpointRegistry(
                EndpointListUpdate(0, True), self.balancer_actor.post_event
            )
            self.discovery = DiscoveryClient(("127.0.0.1", whole["discovery"]), self._hear)
            self.endpoint_registry.watcher = self.discovery
            runs = [self.balancer_actor.run(), self.endpoint_registry.run()]
            if whole["state_s"]:
                runs.append(self._tell_state(whole["state_s"]))
            self._tasks = [asyncio.ensure_future(run) for run in runs]
        self.running = True

    async def _hear(self, watch: int, said: EndpointListUpdate | WatchFailed) -> None:
        if isinstance(said, EndpointListUpdate):
            self.listed_s = time.monotonic()
            self.lists += 1
        else:
            self.lists_failed += 1
        await self.endpoint_registry.on_watch_event(watch, said)

    async def _tell_state(self, every_s: float) -> None:
        """As ``Relay`` does: a relay in service has ended some connections since it last told of itself."""
        count = 0
        await asyncio.sleep(every_s * (zlib.crc32(self.name.encode()) % 97) / 97.0)
        while True:
            count += 1
            state = {
                "standing": 50_000 + count,
                "ended": {"ok": count},
                "flows_dropped": 0,
                "reports_dropped": {},
            }
            self.store.put(f"state/{self.name}/relay", state)
            await asyncio.sleep(max(every_s, getattr(self.spreader, "state_report_interval_s", 0.0)))

    async def stop(self) -> None:
        """As a process that dies: sockets closed, nobody told."""
        if not self.running:
            return
        self.running = False
        await self.spreader.stop()
        await self.discovery.stop()
        for task in self._tasks:
            await cancel_and_wait(task)

    def told(self) -> dict[str, Any]:
        return _told(self)


class RealMember:
    """A whole relay, seen through the same words as a hollow member, and with the spread that is measured."""

    def __init__(self, relay: Relay, job: dict[str, Any], whole: dict[str, Any]) -> None:
        row = job["row"]
        with owned(row, "store"):
            spreader = make_spreader(
                whole["spread"], relay.store, link_options(job, whole), relay.admission, place_of(job)
            )
        relay.replication = spreader  # type: ignore[assignment]  # in the place of its own, which the operator's file leaves out
        self.name: str = relay.store.node
        self.store: Store = relay.store
        self.witness = Witness(self.store, {})
        self.spreader = spreader
        self.running, self.listed_s, self.lists, self.lists_failed = True, 0.0, 0, 0
        vars(spreader)["start"] = owning(row, "store", spreader.start)
        relay.discovery.start = owning(row, "list", relay.discovery.start)  # type: ignore[method-assign]
        hear = relay.endpoint_registry.on_watch_event

        async def heard(watch: int, said: EndpointListUpdate | WatchFailed) -> None:
            if isinstance(said, EndpointListUpdate):
                self.listed_s = time.monotonic()
                self.lists += 1
            else:
                self.lists_failed += 1
            await hear(watch, said)

        relay.discovery.on_event = heard

    def told(self) -> dict[str, Any]:
        return _told(self)


def _told(member: Hollow | RealMember) -> dict[str, Any]:
    return {
        "hash": store_hash(member.store),
        "records": len(member.store.digest()),
        "running": member.running,
        "links": getattr(member.spreader, "link_count", -1),
        "listed_s": member.listed_s,
        "lists": member.lists,
        "lists_failed": member.lists_failed,
    }
