"""The messages of the replication protocol; ``message_codec`` has their encoder and decoder."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

from sageturn.store.records import StoreRecord
from sageturn.store.replication.cursor import StreamKind
from sageturn.store.replication.location import ReplicaLocation
from sageturn.store.replication.membership import LinkRejected, Member, RejectReason
from sageturn.store.replication.priority import PriorityClass
from sageturn.store.replication.routes import RouteAdvertisement

MAX_ZONES = 64  # zones in one heartbeat
MAX_REQUESTED_ITEMS = 200  # tree nodes or keys in one request


class MessageKind(StrEnum):
    """The name of a message on the wire: the first key of its JSON object."""

    DIGEST = "digest"  # message of protocol 1, which is always rejected
    HELLO = "hello"
    FOLLOW = "follow"
    CHUNK = "changes"
    ACKNOWLEDGEMENT = "ack"
    HEARTBEAT = "beat"
    NODE_REQUEST = "ask"
    NODE_RESPONSE = "nodes"
    RECORD_REQUEST = "get"
    RECORD_RESPONSE = "give"
    BYE = "bye"


KINDS_ALLOWED_BEFORE_HELLO = frozenset({MessageKind.DIGEST, MessageKind.HELLO, MessageKind.BYE})


@dataclass(frozen=True, slots=True)
class Hello:
    """The first message of each side. Lists have one entry for each priority class.

    ``is_ephemeral`` is true for an operator's short-lived client, which is no member and has no location.
    """

    node: str
    incarnation: int
    heads: Sequence[int]
    roots: Sequence[int]
    counts: Sequence[int]
    recently_in_sync: bool
    holds_replicated_records: bool
    tombstone_floor: int
    is_ephemeral: bool
    location: ReplicaLocation | None

    def member(self) -> Member | None:
        """Return the sender as a member; None for an ephemeral client."""
        return None if self.location is None else self.location.as_member(self.node, self.incarnation)


class FollowPosition(NamedTuple):
    """A follower's position in one change log; see ``Cursor``."""

    backlog: int
    backlog_end: int
    live: int


@dataclass(frozen=True, slots=True)
class Follow:
    """A request for all changes after these positions, by priority class."""

    positions: Sequence[FollowPosition]


@dataclass(frozen=True, slots=True)
class Chunk:
    """The records that changed after revision ``start`` up to ``end``."""

    priority: PriorityClass
    stream_kind: StreamKind
    start: int
    end: int
    records: Sequence[StoreRecord]


class AcknowledgedPosition(NamedTuple):
    """The revisions up to which one change log's streams were received; a negative backlog is unknown."""

    backlog: int
    live: int


@dataclass(frozen=True, slots=True)
class Acknowledgement:
    """An acknowledgement of the chunks received, by priority class."""

    positions: Sequence[AcknowledgedPosition]


class SkippedRange(NamedTuple):
    """A range of live revisions that hold nothing new for the peer."""

    start: int
    end: int


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """A message sent at a fixed interval, even without changes. Lists have one entry per priority class."""

    heads: Sequence[int]
    roots: Sequence[int]


@dataclass(frozen=True, slots=True)
class OutgoingHeartbeat(Heartbeat):
    """A heartbeat of this side; the peer's is a ``heartbeat_codec.ReceivedHeartbeat``.

    ``skipped`` is None until the peer follows this side, ``acknowledged`` until this side follows the peer.
    ``zone_ages`` are the seconds since the last message that left each zone.
    """

    skipped: Sequence[SkippedRange] | None
    acknowledged: Sequence[AcknowledgedPosition] | None
    tombstone_floor: int
    recently_in_sync: bool
    zone_ages: dict[str, float]
    route: RouteAdvertisement | None


class TreeNode(NamedTuple):
    """Identity of a Merkle tree node; ``position`` is its index within the depth."""

    priority: int
    depth: int
    position: int


@dataclass(frozen=True, slots=True)
class NodeRequest:
    """A request for the contents of Merkle tree nodes."""

    nodes: Sequence[TreeNode]


class RecordVersion(NamedTuple):
    """The identity of one version of a record."""

    version: int
    node: str
    digest: int


NodeContent = list[int] | dict[str, RecordVersion]  # the children's hashes, or all keys in the subtree


@dataclass(frozen=True, slots=True)
class NodeResponse:
    """The answer to the first ``count`` nodes of a request."""

    count: int
    contents: Sequence[NodeContent]


@dataclass(frozen=True, slots=True)
class RecordRequest:
    """A request for records by key."""

    keys: Sequence[str]


@dataclass(frozen=True, slots=True)
class RecordResponse:
    """The answer to the first ``count`` keys of a request, without keys that the sender does not hold."""

    count: int
    records: Sequence[StoreRecord]


@dataclass(frozen=True, slots=True)
class Bye:
    """The last message of a side.

    ``names_alternatives`` is also true if none of the alternatives in a received body can be decoded.
    """

    close_code: str
    detail: str
    alternatives: Sequence[Member] = ()
    names_alternatives: bool = False

    def link_rejection(self) -> LinkRejected | None:
        """Return the rejection by the peer's topology; None if the session ended for another reason."""
        is_topology_reason = self.close_code in tuple(RejectReason)
        if not self.names_alternatives and not is_topology_reason:
            return None
        return LinkRejected(self.close_code, tuple(self.alternatives))


OutgoingMessage = (
    Hello
    | Follow
    | Chunk
    | Acknowledgement
    | OutgoingHeartbeat
    | NodeRequest
    | NodeResponse
    | RecordRequest
    | RecordResponse
    | Bye
)
