"""Members of a scale run: emulated members, which are a relay without clients, and whole relays."""

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
from sageturn.lab.scale.counting import socket_owner, with_socket_owner
from sageturn.lab.scale.digest_replication import DigestReplication, LinkOptions
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
PRELOAD_ENDPOINT_COUNT = 500
LOOPBACK = "127.0.0.1"
# These limits are higher than the experiment's bounds, so that those apply first.
ADMISSION_LIMITS = ProcessLimits(20_000, 4096.0)
STATE_CONNECTION_COUNT = 50_000  # established connections in an emulated member's state record
STATE_PHASES = 97  # number of distinct offsets at which members write their first state record

WatchEvent = EndpointListUpdate | WatchFailed


@dataclass(frozen=True, slots=True)
class Location:
    """A member's name, zone and region; the digest replication ignores it."""

    name: str
    zone: str
    region: str


# ---------------------------------------------------------------- measured replications


class Replication(Protocol):
    """Interface of a replication between a store and the copies of other members."""

    address: tuple[str, int]

    def start(self) -> None:
        """Start accepting and dialling links."""

    async def stop(self) -> None:
        """End all links; the store stays usable."""


def _make_digest_replication(
    store: Store, options: LinkOptions, admission: AdmissionController, _location: Location
) -> Replication:
    return DigestReplication(store, options, admission)


def _make_delta_replication(
    store: Store, options: LinkOptions, admission: AdmissionController, location: Location
) -> Replication:
    """Make the replication that relays use.

    Raises:
        UnavailableReplicationError: The measured revision does not have it.
    """
    try:
        member = import_module("sageturn.store.replication.member")
        replication_options = import_module("sageturn.store.replication.options").ReplicationOptions(
            options.listen, options.peers, options.secret, region=location.region, zone=location.zone
        )
    except ImportError as error:
        raise UnavailableReplicationError(
            "spread: this revision does not have the delta replication"
        ) from error
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
    """Make the replication that a size's key ``spread`` names.

    Raises:
        UnavailableReplicationError: This revision does not have it.
    """
    return REPLICATIONS[spread](store, options, admission, location)


def link_options(job: MemberJob, common: CommonJob) -> LinkOptions:
    """Return a member's link options from its own part of a job and the common part."""
    return LinkOptions(
        (LOOPBACK, job.port),
        tuple((LOOPBACK, port) for port in job.peers),
        bytes.fromhex(common.secret),
        common.interval_s,
    )


def location_of(job: MemberJob) -> Location:
    """Return a member's location from its part of a job."""
    return Location(job.name, job.zone, job.region)


# ---------------------------------------------------------------- copies of the store


def preload(key_count: int) -> list[StoreRecord]:
    """Return the ``key_count`` records that every copy has at the start, one shard placement each."""
    return [
        StoreRecord(
            f"shards/{number:06d}",
            {"host": f"h{number % PRELOAD_ENDPOINT_COUNT:04d}", "weight": 1.0},
            1,
            PRELOAD_NODE,
        )
        for number in range(key_count)
    ]


def load_records(store: Store, records: list[StoreRecord]) -> None:
    """Load records as a copy of a running fleet has them, and mark the copy as complete.

    Without the mark, members of a new fleet would first have to agree that their copies are complete, and
    each member that joins later would copy all records again.
    """
    store.merge(records)
    store.set_last_in_sync(store.wall_clock())


def store_hash(store: Store) -> str:
    """Return a hash that is equal for equal copies, including the members' own records under ``state/``."""
    orders = sorted((key, order[0], order[1]) for key, order in store.digest().items())
    return hashlib.sha256(json.dumps(orders).encode()).hexdigest()[:16]


class ArrivalRecorder:
    """Recorder of the times at which a copy first held each change, on the machine's monotonic clock.

    ``first_s`` is shared with the recorders of a member's earlier copies; ``present_copy_s`` covers only this
    copy.
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
    """Counter of a member's endpoint lists and failed watches, which forwards each watch event."""

    def __init__(self) -> None:
        self.listed_s: float | None = None  # arrival of the last list, on the monotonic clock
        self.list_count = 0
        self.failure_count = 0

    async def forward(
        self, watch: int, event: WatchEvent, handler: Callable[[int, WatchEvent], Awaitable[None]]
    ) -> None:
        """Count the event, and then pass it to ``handler``."""
        if isinstance(event, EndpointListUpdate):
            self.listed_s = time.monotonic()
            self.list_count += 1
        else:
            self.failure_count += 1
        await handler(watch, event)


# ---------------------------------------------------------------- members


class Member:
    """Base class of emulated and real members: the state that their process reports to the run."""

    name: str
    store: Store
    arrivals: ArrivalRecorder
    replication: Replication
    watch_monitor: WatchMonitor
    running: bool

    def status(self) -> MemberStatus:
        """Return the member's part of the answer to ``GetStatus``."""
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
    """A relay's control plane without a listener for clients.

    Store, replication, endpoint list, discovery backoff and accounting are assembled as in ``Relay``.
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
        """Start the member with the copy that it had, or with an empty one if ``wipe`` is true."""
        if wipe:
            self._make_copy([])
        self.admission = AdmissionController(ADMISSION_LIMITS)
        with socket_owner(self._job.row, "store"):
            self._start_replication()
        with socket_owner(self._job.row, "list"):
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
        """Write a state record at an interval, as ``Relay`` does; each counts one more ended connection."""
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
        """Stop the member as a crash would: its sockets close, and no peer is notified."""
        if not self.running:
            return
        self.running = False
        await self.replication.stop()
        await self.discovery.stop()
        for task in self._tasks:
            await cancel_and_wait(task)


class RealMember(Member):
    """A whole relay whose own replication is replaced by the measured one."""

    def __init__(self, relay: Relay, job: MemberJob, common: CommonJob) -> None:
        self.name = relay.store.node
        self.store = relay.store
        self.arrivals = ArrivalRecorder(self.store, {})
        self.watch_monitor = WatchMonitor()
        self.running = True
        with socket_owner(job.row, "store"):
            self.replication = make_replication(
                common.spread, relay.store, link_options(job, common), relay.admission, location_of(job)
            )
        relay.replication = self.replication  # type: ignore[assignment]  # the operator file configures none
        vars(self.replication)["start"] = with_socket_owner(job.row, "store", self.replication.start)
        relay.discovery.start = with_socket_owner(job.row, "list", relay.discovery.start)  # type: ignore[method-assign]
        handler = relay.endpoint_registry.on_watch_event

        async def on_watch_event(watch: int, event: WatchEvent) -> None:
            await self.watch_monitor.forward(watch, event, handler)

        relay.discovery.on_event = on_watch_event
