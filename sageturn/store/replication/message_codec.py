"""The encoder and the decoder of the replication protocol's messages, except for heartbeats.

On the wire a message is a JSON object with one key, the message's kind, and a list or an object as its
body. The texts of rejections are sent to the peer, so they are part of the protocol too.

A session checks whether it expects a kind before it decodes the body, and applies some parts of a body
before it reaches the next ones: those are decoded on demand (``LazySequence``, ``heartbeat_codec``).
Decoders raise SessionRejectedError for an invalid body, and ``MALFORMED_BODY_ERRORS`` for one of unexpected
types.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from dataclasses import replace
from typing import Any, NamedTuple

from sageturn.store.errors import SessionRejectedError
from sageturn.store.records import StoreRecord
from sageturn.store.replication.body_fields import (
    MAX_QUOTED_LENGTH,
    LazyRecords,
    LazySequence,
    decode_acknowledged_positions,
    decode_count,
    decode_counts_by_priority,
    decode_records,
)
from sageturn.store.replication.close_code import CloseCode
from sageturn.store.replication.cursor import StreamKind
from sageturn.store.replication.heartbeat_codec import heartbeat_to_wire
from sageturn.store.replication.location import ReplicaLocation
from sageturn.store.replication.membership import Member
from sageturn.store.replication.merkle_tree import DEPTH, FANOUT
from sageturn.store.replication.messages import (
    MAX_REQUESTED_ITEMS,
    Acknowledgement,
    Bye,
    Chunk,
    Follow,
    FollowPosition,
    Hello,
    MessageKind,
    NodeContent,
    NodeRequest,
    NodeResponse,
    OutgoingHeartbeat,
    OutgoingMessage,
    RecordRequest,
    RecordResponse,
    RecordVersion,
    TreeNode,
)
from sageturn.store.replication.priority import PRIORITY_CLASSES
from sageturn.store.replication.wire import PROTOCOL_VERSION, encode

MAX_DECODED_ALTERNATIVES = 64  # alternatives decoded from one rejection; any more are ignored
MAX_CLOSE_DETAIL_LENGTH = 500
PROTOCOL_1_LABEL = "1 (whole digests)"

_PRIORITY_BY_INDEX = list(PRIORITY_CLASSES)


# ---------------------------------------------------------------- encoding


def encode_message(message: OutgoingMessage) -> bytes:
    """Return the payload of a message."""
    return encode(_to_wire(message))


def _to_wire(message: OutgoingMessage) -> dict[str, Any]:
    encoder = _ENCODERS[type(message)]
    fields: dict[str, Any] = {encoder.kind: encoder.encode_body(message)}
    is_version_rejection = isinstance(message, Bye) and message.close_code == CloseCode.VERSION
    if isinstance(message, Hello) or is_version_rejection:
        fields["records"] = _version_notice()
    return fields


def _hello_to_wire(hello: Hello) -> dict[str, Any]:
    location = hello.location
    return {
        "protocol": PROTOCOL_VERSION,
        "node": hello.node,
        "incarnation": hello.incarnation,
        "heads": hello.heads,
        "roots": hello.roots,
        "counts": hello.counts,
        "fresh": hello.recently_in_sync,
        "foreign": hello.holds_replicated_records,
        "floor": hello.tombstone_floor,
        "guest": hello.is_ephemeral,
        "member": None if location is None else [*location.address, location.region, location.zone],
    }


def _chunk_to_wire(chunk: Chunk) -> list[Any]:
    return [chunk.priority, chunk.stream_kind, chunk.start, chunk.end, _records_to_wire(chunk.records)]


def _bye_to_wire(bye: Bye) -> list[Any]:
    return [bye.close_code, bye.detail, [_member_to_wire(member) for member in bye.alternatives]]


def _member_to_wire(member: Member) -> list[Any]:
    return [member.name, *member.address, member.region, member.zone, member.incarnation]


def _version_notice() -> list[dict[str, Any]]:
    """Return a record with an invalid key that names both versions, which a replica of protocol 1 logs."""
    text = f"state/this link needs protocol {PROTOCOL_VERSION}, this copy speaks 1 (whole digests)"
    return [{"key": text, "value": None, "version": 1, "node": f"protocol {PROTOCOL_VERSION}"}]


def record_to_wire(record: StoreRecord) -> list[Any]:
    """Return the wire form of a record."""
    return [record.key, record.value, record.version, record.node, record.written_ms]


def _records_to_wire(records: Sequence[StoreRecord]) -> list[list[Any]]:
    return [record_to_wire(record) for record in records]


class _Encoder(NamedTuple):
    """The kind of a message type on the wire, and the function that returns a message's body."""

    kind: MessageKind
    encode_body: Callable[[Any], Any]


_ENCODERS: dict[type[OutgoingMessage], _Encoder] = {
    Hello: _Encoder(MessageKind.HELLO, _hello_to_wire),
    Follow: _Encoder(MessageKind.FOLLOW, lambda follow: follow.positions),
    Chunk: _Encoder(MessageKind.CHUNK, _chunk_to_wire),
    Acknowledgement: _Encoder(MessageKind.ACKNOWLEDGEMENT, lambda message: message.positions),
    OutgoingHeartbeat: _Encoder(MessageKind.HEARTBEAT, heartbeat_to_wire),
    NodeRequest: _Encoder(MessageKind.NODE_REQUEST, lambda request: request.nodes),
    NodeResponse: _Encoder(MessageKind.NODE_RESPONSE, lambda response: [response.count, response.contents]),
    RecordRequest: _Encoder(MessageKind.RECORD_REQUEST, lambda request: request.keys),
    RecordResponse: _Encoder(
        MessageKind.RECORD_RESPONSE, lambda response: [response.count, _records_to_wire(response.records)]
    ),
    Bye: _Encoder(MessageKind.BYE, _bye_to_wire),
}


# ---------------------------------------------------------------- decoding


class _LazyNodeContents(LazySequence[NodeContent]):
    """The contents of a node response, whose number is checked when an iteration starts."""

    __slots__ = ("_count",)

    def __init__(self, body: Any, count: int) -> None:
        super().__init__(body, _decode_node_content)
        self._count = count

    def __iter__(self) -> Iterator[NodeContent]:
        if len(self) != self._count:
            raise SessionRejectedError("answers and their count differ")
        yield from super().__iter__()


def parse_kind(name: str) -> MessageKind:
    """Return the message kind with a name. Raise SessionRejectedError if there is none."""
    try:
        return MessageKind(name)
    except ValueError as error:
        raise SessionRejectedError(f"unknown message {name[:MAX_QUOTED_LENGTH]!r}") from error


def protocol_mismatch(peer: str, version: Any) -> SessionRejectedError:
    """Return the rejection of a peer that speaks another version of the protocol."""
    text = f"{peer} speaks protocol {version}, this copy speaks {PROTOCOL_VERSION}"
    return SessionRejectedError(text, CloseCode.VERSION)


def decode_hello(body: Any, peer: str) -> Hello:
    """Decode the hello of ``peer``, whose name a rejection of another protocol version quotes."""
    if body["protocol"] != PROTOCOL_VERSION:
        raise protocol_mismatch(peer, body["protocol"])
    location = body["member"]
    return Hello(
        node=str(body["node"]),
        incarnation=decode_count(body["incarnation"], 1),
        heads=decode_counts_by_priority(body["heads"]),
        roots=decode_counts_by_priority(body["roots"]),
        counts=decode_counts_by_priority(body["counts"]),
        recently_in_sync=body["fresh"] is True,
        holds_replicated_records=body["foreign"] is True,
        tombstone_floor=decode_count(body["floor"]),
        is_ephemeral=body["guest"] is True,
        location=None if location is None else _decode_location(location),
    )


def _decode_location(body: Any) -> ReplicaLocation:
    host, port, region, zone = body
    return ReplicaLocation((str(host), decode_count(port)), str(region), str(zone))


def decode_follow(body: Any) -> Follow:
    """Decode a request for changes; each position is decoded once the one before it was checked."""
    return Follow(LazySequence(body, _decode_follow_position))


def _decode_follow_position(body: Any) -> FollowPosition:
    raw_backlog, raw_backlog_end, live = body
    backlog = decode_count(raw_backlog + 1) - 1
    backlog_end = decode_count(raw_backlog_end)
    if backlog > backlog_end:
        raise SessionRejectedError("a cursor that was never given")
    return FollowPosition(backlog, backlog_end, decode_count(live))


def decode_chunk(body: Any, is_following: bool) -> Chunk:
    """Decode changes, which only a side that follows its peer expects.

    The records are decoded at their first use.
    """
    priority, stream, start, end, records = body
    if not is_following or priority not in PRIORITY_CLASSES or stream not in tuple(StreamKind):
        raise SessionRejectedError("changes that nobody asked for")
    return Chunk(
        priority=_PRIORITY_BY_INDEX[priority],
        stream_kind=StreamKind(stream),
        start=decode_count(start),
        end=decode_count(end),
        records=LazyRecords(records),
    )


def decode_acknowledgement(body: Any) -> Acknowledgement:
    """Decode an acknowledgement; each position is decoded once the one before it was applied."""
    return Acknowledgement(decode_acknowledged_positions(body))


def decode_node_request(body: Any) -> NodeRequest:
    """Decode a request for Merkle tree nodes."""
    nodes = []
    for priority, depth, position in _requested_items(body):
        is_in_tree = decode_count(priority) in PRIORITY_CLASSES and 0 <= decode_count(depth) <= DEPTH
        if not is_in_tree or decode_count(position) >= FANOUT**depth:
            raise SessionRejectedError("no node of the tree")
        nodes.append(TreeNode(priority, depth, position))
    return NodeRequest(nodes)


def decode_record_request(body: Any) -> RecordRequest:
    """Decode a request for records."""
    keys = _requested_items(body)
    if not all(isinstance(key, str) for key in keys):
        raise SessionRejectedError("no key")
    return RecordRequest(keys)


def _requested_items(body: Any) -> list[Any]:
    if not isinstance(body, list) or not 1 <= len(body) <= MAX_REQUESTED_ITEMS:
        raise SessionRejectedError("asked for too much, or for nothing")
    return body


def decode_node_response(body: Any) -> NodeResponse:
    """Decode Merkle tree nodes; each is decoded once the one before it was compared."""
    raw_count, contents = body
    count = decode_count(raw_count)
    return NodeResponse(count, _LazyNodeContents(contents, count))


def _decode_node_content(body: Any) -> NodeContent:
    if isinstance(body, list):
        if len(body) != FANOUT:
            raise SessionRejectedError("no node of the tree")
        return [decode_count(child) for child in body]
    return {
        str(key): RecordVersion(decode_count(version, 1), str(node), decode_count(digest, 1))
        for key, (version, node, digest) in body.items()
    }


def decode_record_response(body: Any) -> RecordResponse:
    """Decode records that were requested."""
    count, raw_records = body
    records = decode_records(raw_records)
    return RecordResponse(decode_count(count), records)


def decode_bye(body: Any) -> Bye:
    """Decode the last message of a peer, without its alternatives."""
    detail = str(body[1])[:MAX_CLOSE_DETAIL_LENGTH]
    return Bye(close_code=str(body[0]), detail=detail)


def decode_bye_alternatives(bye: Bye, body: Any) -> Bye:
    """Return ``bye`` with the alternatives that its body names."""
    alternatives = list(body[2])
    return replace(
        bye,
        alternatives=_decode_alternatives(alternatives[:MAX_DECODED_ALTERNATIVES]),
        names_alternatives=bool(alternatives),
    )


def _decode_alternatives(body: list[Any]) -> tuple[Member, ...]:
    """Return the members that can be decoded; a peer of another version may encode them differently."""
    members = []
    for fields in body:
        try:
            members.append(_decode_member(fields))
        except (TypeError, ValueError):
            continue
    return tuple(members)


def _decode_member(body: Any) -> Member:
    name, host, port, region, zone, incarnation = body
    address = str(host), decode_count(port)
    return Member(str(name), address, str(region), str(zone), decode_count(incarnation))
