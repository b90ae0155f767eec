"""Members of a scale run: the control part of a relay, without its clients, many to a process."""

from __future__ import annotations

import asyncio
import hashlib
import json
import time
import zlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from importlib import import_module
from random import Random
from typing import TYPE_CHECKING, Protocol

from sageturn.config.settings import read_settings
from sageturn.core.balancer_actor import BalancerActor
from sageturn.core.clock import Clock
from sageturn.core.endpoint_registry import EndpointRegistry
from sageturn.core.messages import EndpointListUpdate, WatchFailed
from sageturn.core.tasks import cancel_and_wait
from sageturn.lab.scale.child_protocol import MemberStatus
from sageturn.lab.scale.counting import owned, owning
from sageturn.lab.scale.digests import DigestReplication, LinkOptions
from sageturn.lab.scale.errors import UnavailableReplicationError
from sageturn.lab.scale.job_files import CommonJob, MemberJob
from sageturn.lab.scale.plan import Spread
from sageturn.net.admission import AdmissionController, ProcessLimits
from sageturn.net.discovery import DiscoveryClient
from sageturn.store.records import StoreRecord
from sageturn.store.store import Store

if TYPE_CHECKING:
    from sageturn.relay import Relay

CHANGE_KEY_PREFIX = "change/"
PRELOAD_NODE = "r0000"
PRELOAD_HOST_COUNT = 500
LOOPBACK = "127.0.0.1"
ADMISSION_LIMITS = ProcessLimits(20_000, 4096.0)  # above the experiment's own bounds, which apply first
STATE_CONNECTION_COUNT = 50_000  # established connections in an emulated member's state record
STATE_PHASES = 97  # points of the interval at which members write their first state record

WatchEvent = EndpointListUpdate | WatchFailed


@dataclass(frozen=True, slots=True)
class Location:
    """A member's name and where it is placed; the digest replication has no use for it."""

    name: str
    zone: str
    region: str


# ---------------------------------------------------------------- replication that is measured


class Replication(Protocol):
    """Replication of a store with the copies of other members."""

    address: tuple[str, int]

    def start(self) -> None:
        """Begins to accept and to dial."""

    async def stop(self) -> None:
        """Ends all links; the store stays usable."""


def _make_digest_replication(
    store: Store, options: LinkOptions, admission: AdmissionController, _location: Location
) -> Replication:
    return DigestReplication(store, options, admission)


def _make_delta_replication(
    store: Store, options: LinkOptions, admission: AdmissionController, location: Location
) -> Replication:
    """Makes the program's own replication.

    Raises UnavailableReplicationError where the measured revision does not have it.
    """
    try:
        member = import_module("sageturn.store.replication.member")
        replication_options = import_module("sageturn.store.replication.options").ReplicationOptions(
            options.listen, options.peers, options.secret, region=location.region, zone=location.zone
        )
    except ImportError as error:
        raise UnavailableReplicationError("spread: delta is not in this program") from error
    random = Random(f"scale/{location.name}")
    made: Replication = member.ReplicationMember(store, replication_options, admission, random)
    return made


REPLICATIONS: dict[str, Callable[[Store, LinkOptions, AdmissionController, Location], Replication]] = {
    Spread.DIGEST: _make_digest_replication,
    Spread.DELTA: _make_delta_replication,
}


def make_replication(
    spread: str, store: Store, options: LinkOptions, admission: AdmissionController, location: Location
) -> Replication:
    """Makes the replication that a size's key ``spread`` names.

    Raises UnavailableReplicationError where this revision does not have it.
    """
    return REPLICATIONS[spread](store, options, admission, location)


def link_options(job: MemberJob, common: CommonJob) -> LinkOptions:
    """Returns the link options from a member's part of a job and the part that all members share."""
    return LinkOptions(
        (LOOPBACK, job.port),
        tuple((LOOPBACK, port) for port in job.peers),
        bytes.fromhex(common.secret),
        common.interval_s,
    )


def location_of(job: MemberJob) -> Location:
    """Returns the location from a member's part of a job."""
    return Location(job.name, job.zone, job.region)


# ---------------------------------------------------------------- copies of the store


def preload(keys: int) -> list[StoreRecord]:
    """Returns the records that every copy holds from the start: a shard's placement for each key."""
    return [
        StoreRecord(
            f"shards/{number:06d}",
            {"host": f"h{number % PRELOAD_HOST_COUNT:04d}", "weight": 1.0},
            1,
            PRELOAD_NODE,
        )
        for number in range(keys)
    ]


def load_records(store: Store, records: list[StoreRecord]) -> None:
    """Loads records as in a fleet that has been running, whose copies are known to be complete.

    Members of a new fleet would first have to agree on that, and each later one would take all anew.
    """
    store.merge(records)
    store.set_last_in_sync(store.wall_clock())


def store_hash(store: Store) -> str:
    """Returns a hash that is equal for equal copies, including the members' own records under ``state/``."""
    orders = sorted((key, order[0], order[1]) for key, order in store.digest().items())
    return hashlib.sha256(json.dumps(orders).encode()).hexdigest()[:16]


class ArrivalRecorder:
    """Records when a copy first held each change, on the monotonic clock, which all processes share.

    ``first_s`` is handed in and outlives a wiped copy; ``present_copy_s`` is this copy's own.
    """

    def __init__(self, store: Store, first_s: dict[str, float]) -> None:
        self.first_s = first_s
        self.present_copy_s: dict[str, float] = {}
        store.on_change.append(self._on_change)

    def _on_change(self, records: list[StoreRecord]) -> None:
        now_s = time.monotonic()
        for record in records:
            if record.key.startswith(CHANGE_KEY_PREFIX):
                self.first_s.setdefault(record.key, now_s)
                self.present_copy_s.setdefault(record.key, now_s)


class WatchMonitor:
    """Counts a member's endpoint lists and failed watches, and passes each event on."""

    def __init__(self) -> None:
        self.listed_s: float | None = None  # when the last list arrived, on the monotonic clock
        self.list_count = 0
        self.failure_count = 0

    async def forward(
        self, watch: int, event: WatchEvent, handler: Callable[[int, WatchEvent], Awaitable[None]]
    ) -> None:
        """Counts the event, then awaits ``handler`` with it."""
        if isinstance(event, EndpointListUpdate):
            self.listed_s = time.monotonic()
            self.list_count += 1
        else:
            self.failure_count += 1
        await handler(watch, event)


# ---------------------------------------------------------------- members


class Member:
    """The common part of emulated and real members, which their process shows to the run."""

    name: str
    store: Store
    arrivals: ArrivalRecorder
    replication: Replication
    watch_monitor: WatchMonitor
    running: bool

    def status(self) -> MemberStatus:
        """Returns the member's part of the answer to the command STATUS."""
        return MemberStatus(
            store_hash(self.store),
            len(self.store.digest()),
            self.running,
            getattr(self.replication, "link_count", None),
            self.watch_monitor.listed_s,
            self.watch_monitor.list_count,
            self.watch_monitor.failure_count,
        )


class EmulatedMember(Member):
    """A relay without a listener for clients.

    Store, replication, endpoint list, discovery backoff and accounting are put together as in ``Relay``.
    """

    def __init__(self, job: MemberJob, common: CommonJob, records: list[StoreRecord]) -> None:
        self.name = job.name
        self.running = False
        self.watch_monitor = WatchMonitor()
        self._job = job
        self._common = common
        self._tasks: list[asyncio.Task[None]] = []
        self._first_arrivals_s: dict[str, float] = {}
        self._make_copy(records)

    def _make_copy(self, records: list[StoreRecord]) -> None:
        self.store = Store(self.name)
        if records:
            load_records(self.store, records)
        self.arrivals = ArrivalRecorder(self.store, self._first_arrivals_s)

    def start(self, wipe: bool = False) -> None:
        """Starts the member, again with the copy that it had, or with an empty one (``wipe``)."""
        if wipe:
            self._make_copy([])
        self.admission = AdmissionController(ADMISSION_LIMITS)
        with owned(self._job.row, "store"):
            self._start_replication()
        with owned(self._job.row, "list"):
            self._start_balancer()
        self.running = True

    def _start_replication(self) -> None:
        self.replication = make_replication(
            self._common.spread,
            self.store,
            link_options(self._job, self._common),
            self.admission,
            location_of(self._job),
        )
        self.replication.start()

    def _start_balancer(self) -> None:
        self.balancer_actor = BalancerActor(
            read_settings(self._job.settings),
            self._job.seed,
            Clock(),
            lambda: self.endpoint_registry.request_watch(),
        )
        self.discovery = DiscoveryClient((LOOPBACK, self._common.discovery_port), self._on_watch_event)
        self.endpoint_registry = EndpointRegistry(
            EndpointListUpdate(0, full=True), self.balancer_actor.post_event, self.discovery
        )
        runs = [self.balancer_actor.run(), self.endpoint_registry.run()]
        if self._common.state_s:
            runs.append(self._write_state(self._common.state_s))
        self._tasks = [asyncio.ensure_future(run) for run in runs]

    async def _on_watch_event(self, watch: int, event: WatchEvent) -> None:
        await self.watch_monitor.forward(watch, event, self.endpoint_registry.on_watch_event)

    async def _write_state(self, interval_s: float) -> None:
        """Writes state records as ``Relay`` does; each counts more ended connections than the last."""
        count = 0
        phase = zlib.crc32(self.name.encode()) % STATE_PHASES
        await asyncio.sleep(interval_s * phase / STATE_PHASES)
        while True:
            count += 1
            state = {
                "standing": STATE_CONNECTION_COUNT + count,
                "ended": {"ok": count},
                "flows_dropped": 0,
                "reports_dropped": {},
            }
            self.store.put(f"state/{self.name}/relay", state)
            await asyncio.sleep(max(interval_s, getattr(self.replication, "state_report_interval_s", 0.0)))

    async def stop(self) -> None:
        """Stops the member as a crash would: sockets are closed, nobody is notified."""
        if not self.running:
            return
        self.running = False
        await self.replication.stop()
        await self.discovery.stop()
        for task in self._tasks:
            await cancel_and_wait(task)


class RealMember(Member):
    """A whole relay, with the replication that is measured in the place of its own."""

    def __init__(self, relay: Relay, job: MemberJob, common: CommonJob) -> None:
        self.name = relay.store.node
        self.store = relay.store
        self.arrivals = ArrivalRecorder(self.store, {})
        self.watch_monitor = WatchMonitor()
        self.running = True
        with owned(job.row, "store"):
            self.replication = make_replication(
                common.spread, relay.store, link_options(job, common), relay.admission, location_of(job)
            )
        relay.replication = self.replication  # type: ignore[assignment]  # the operator's file configures none
        vars(self.replication)["start"] = owning(job.row, "store", self.replication.start)
        relay.discovery.start = owning(job.row, "list", relay.discovery.start)  # type: ignore[method-assign]
        handler = relay.endpoint_registry.on_watch_event

        async def on_watch_event(watch: int, event: WatchEvent) -> None:
            await self.watch_monitor.forward(watch, event, handler)

        relay.discovery.on_event = on_watch_event
