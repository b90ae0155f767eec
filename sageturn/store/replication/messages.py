"""The messages of the replication protocol; ``message_codec`` has their encoder and decoder."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

from sageturn.store.records import StoreRecord
from sageturn.store.replication.cursor import ChangeStream
from sageturn.store.replication.location import ReplicaLocation
from sageturn.store.replication.membership import LinkRejected, Member, RejectReason
from sageturn.store.replication.priority import PriorityClass
from sageturn.store.replication.routes import RouteAdvertisement

MAX_ZONES = 64  # in a heartbeat
MAX_REQUESTED_ITEMS = 200  # tree nodes or keys in one request


class MessageKind(StrEnum):
    """What a message is called on the wire: the first key of its JSON object."""

    DIGEST = "digest"  # of protocol 1; always rejected
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


KINDS_WITHOUT_HELLO = frozenset({MessageKind.DIGEST, MessageKind.HELLO, MessageKind.BYE})


@dataclass(frozen=True, slots=True)
class Hello:
    """The first message of each side. Lists have one entry for each priority class."""

    node: str
    incarnation: int
    heads: Sequence[int]
    roots: Sequence[int]
    counts: Sequence[int]
    recently_in_sync: bool
    holds_replicated_records: bool  # of whatever age
    tombstone_floor: int
    is_ephemeral: bool  # an operator's client for a moment, which is no member
    location: ReplicaLocation | None

    def member(self) -> Member | None:
        """The sender as a member; None for an ephemeral client."""
        return None if self.location is None else self.location.as_member(self.node, self.incarnation)


class FollowPosition(NamedTuple):
    """Where a follower is in one change log; see ``Cursor``."""

    backlog: int
    backlog_end: int
    live: int


@dataclass(frozen=True, slots=True)
class Follow:
    """Asks for all changes after these positions, by priority class."""

    positions: Sequence[FollowPosition]


@dataclass(frozen=True, slots=True)
class Chunk:
    """The records that changed after revision ``start`` up to ``end``."""

    priority: PriorityClass
    stream: ChangeStream
    start: int
    end: int
    records: Sequence[StoreRecord]


class AcknowledgedPosition(NamedTuple):
    """Up to which revisions one change log's streams were received; a negative backlog is unknown."""

    backlog: int
    live: int


@dataclass(frozen=True, slots=True)
class Acknowledgement:
    """Confirms the chunks received, by priority class."""

    positions: Sequence[AcknowledgedPosition]


class SkippedRange(NamedTuple):
    """Live revisions that hold nothing new for the peer."""

    start: int
    end: int


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Sent at a steady pace, also when nothing changes. Lists have one entry for each priority class."""

    heads: Sequence[int]
    roots: Sequence[int]


@dataclass(frozen=True, slots=True)
class OutgoingHeartbeat(Heartbeat):
    """A heartbeat of this side; the peer's is a ``message_codec.ReceivedHeartbeat``."""

    skipped: Sequence[SkippedRange] | None  # None: the peer follows nothing yet
    acknowledged: Sequence[AcknowledgedPosition] | None  # None: the sender follows nothing yet
    tombstone_floor: int
    recently_in_sync: bool
    zone_ages: dict[str, float]  # seconds since the last message that left each zone
    route: RouteAdvertisement | None


class TreeNode(NamedTuple):
    """The name of a Merkle tree node."""

    priority: int
    depth: int
    position: int  # within the depth


@dataclass(frozen=True, slots=True)
class NodeRequest:
    """Asks what is below Merkle tree nodes."""

    nodes: Sequence[TreeNode]


class RecordVersion(NamedTuple):
    """Identifies one version of a record."""

    version: int
    node: str
    digest: int


NodeContent = list[int] | dict[str, RecordVersion]  # the children's hashes, or all keys below


@dataclass(frozen=True, slots=True)
class NodeResponse:
    """Answers the first ``count`` nodes of a request."""

    count: int
    contents: Sequence[NodeContent]


@dataclass(frozen=True, slots=True)
class RecordRequest:
    """Asks for records by key."""

    keys: Sequence[str]


@dataclass(frozen=True, slots=True)
class RecordResponse:
    """Answers the first ``count`` keys of a request; keys that are not held are left out."""

    count: int
    records: Sequence[StoreRecord]


@dataclass(frozen=True, slots=True)
class Bye:
    """The last message of a side."""

    close_code: str
    detail: str
    alternatives: Sequence[Member] = ()  # other members to connect to
    names_alternatives: bool = False  # also where none of those named could be read

    def link_rejection(self) -> LinkRejected | None:
        """What the peer's topology answered; None if the session ended for another reason."""
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
