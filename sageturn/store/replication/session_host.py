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
    def is_ephemeral(self) -> bool:
        """Whether this is an operator's client for a moment, which is no member."""

    @property
    def recently_in_sync(self) -> bool:
        """Whether this replica was in sync within the horizon."""

    @property
    def holds_replicated_records(self) -> bool:
        """Whether it holds records of others that may have been deleted meanwhile."""

    def admit(self, session: ReplicationSession, hello: Hello, claims_sync: bool, now: float) -> None:
        """Raises SessionRejectedError where the peer's hello doesn't allow a session."""

    def on_session_established(self, session: ReplicationSession, now: float) -> None:
        """Both sides' hello messages were accepted."""

    def on_session_progress(self, session: ReplicationSession) -> None:
        """Something was received: this replica may be in sync with the peer now."""

    def may_follow(self, session: ReplicationSession) -> bool:
        """Whether this replica may take records from a session's peer."""

    def apply_records(self, records: Iterable[StoreRecord], session: ReplicationSession) -> int:
        """Take what a session received into the store; returns how many records were newer."""

    def zone_ages(self, now: float) -> dict[str, float]:
        """Seconds since the last message that left each zone, as ``region/zone``; 0 for one's own."""

    def merge_zone_ages(self, ages: dict[str, float], now: float) -> None:
        """Take over what a peer knows better of each zone's last message."""

    def make_route_for(self, session: ReplicationSession, now: float) -> RouteAdvertisement | None:
        """What a heartbeat to a peer says of the topology's root."""

    def on_route(self, session: ReplicationSession, route: RouteAdvertisement, now: float) -> None:
        """A peer's heartbeat told of the topology's root."""
