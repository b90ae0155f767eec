"""What a replication session needs of its replica."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Protocol

from sageturn.store.records import StoreRecord
from sageturn.store.replication.byte_budget import ByteBudget
from sageturn.store.replication.cursor import CursorCache
from sageturn.store.replication.local_replica import LocalReplica
from sageturn.store.replication.location import ReplicaLocation
from sageturn.store.replication.messages import Hello
from sageturn.store.replication.routes import RouteAdvertisement
from sageturn.store.replication.topology import Topology

if TYPE_CHECKING:
    from sageturn.store.replication.session import ReplicationSession


class SessionHost(LocalReplica, Protocol):
    """Implemented by ``replica.Replica``."""

    budget: ByteBudget
    location: ReplicaLocation | None
    topology: Topology | None
    followed_cursors: CursorCache
    on_output_pending: Callable[[], None]

    @property
    def is_ephemeral(self) -> bool: ...
    @property
    def recently_in_sync(self) -> bool: ...
    @property
    def holds_replicated_records(self) -> bool: ...
    def admit(self, session: ReplicationSession, hello: Hello, claims_sync: bool, now: float) -> None: ...
    def on_session_established(self, session: ReplicationSession, now: float) -> None: ...
    def on_session_progress(self, session: ReplicationSession) -> None: ...
    def may_follow(self, session: ReplicationSession) -> bool: ...
    def apply_records(self, records: Iterable[StoreRecord], session: ReplicationSession) -> int: ...
    def zone_ages(self, now: float) -> dict[str, float]: ...
    def merge_zone_ages(self, ages: dict[str, float], now: float) -> None: ...
    def make_route_for(self, session: ReplicationSession, now: float) -> RouteAdvertisement | None: ...
    def on_route(self, session: ReplicationSession, route: RouteAdvertisement, now: float) -> None: ...
