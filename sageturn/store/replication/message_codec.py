"""The one encoder and the one decoder of the replication protocol's messages.

On the wire a message is a JSON object with one key, the message's kind, and a list or an object as its
body. The texts of rejections are sent to the peer, so they are part of the protocol too.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from sageturn.store.errors import InvalidRecordError, SessionRejected
from sageturn.store.records import StoreRecord, parse_record
from sageturn.store.replication.close_code import CloseCode
from sageturn.store.replication.cursor import ChangeStream
from sageturn.store.replication.location import ReplicaLocation
from sageturn.store.replication.membership import Member
from sageturn.store.replication.merkle_tree import DEPTH, FANOUT
from sageturn.store.replication.messages import (
    MAX_REQUESTED_ITEMS,
    MAX_ZONES,
    AcknowledgedPosition,
    Acknowledgement,
    Bye,
    Chunk,
    Follow,
    FollowPosition,
    Heartbeat,
    Hello,
    Message,
    NodeContent,
    NodeRequest,
    NodeResponse,
    RecordRequest,
    RecordResponse,
    RecordVersion,
    SkippedRange,
    TreeNode,
)
from sageturn.store.replication.priority import PRIORITY_CLASSES, PriorityClass
from sageturn.store.replication.routes import RouteAdvertisement
from sageturn.store.replication.wire import PROTOCOL_VERSION, encode

MALFORMED_BODY_ERRORS = (KeyError, TypeError, ValueError, IndexError, AttributeError)

MAX_ZONE_AGE_S = 1e9
MAX_ALTERNATIVES = 64  # members named in a rejection
MAX_CLOSE_DETAIL_LENGTH = 500
MAX_RANK_LENGTH = 32  # hexadecimal digits
MAX_QUOTED_LENGTH = 40  # of a peer's text in a rejection


# ---------------------------------------------------------------- encoding


def encode_message(message: Message) -> bytes:
    """The payload of a message."""
    return encode(_to_wire(message))


def _to_wire(message: Message) -> dict[str, Any]:
    match message:
        case Hello():
            return {"hello": _hello_to_wire(message), "records": _version_notice()}
        case Follow(positions):
            return {"follow": positions}
        case Chunk(priority, stream, start, end, records):
            return {"changes": [priority, stream, start, end, [record_to_wire(record) for record in records]]}
        case Acknowledgement(positions):
            return {"ack": positions}
        case Heartbeat():
            return {"beat": _heartbeat_to_wire(message)}
        case NodeRequest(nodes):
            return {"ask": nodes}
        case NodeResponse(count, contents):
            return {"nodes": [count, contents]}
        case RecordRequest(keys):
            return {"get": keys}
        case RecordResponse(count, records):
            return {"give": [count, [record_to_wire(record) for record in records]]}
        case Bye():
            return _bye_to_wire(message)


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


def _heartbeat_to_wire(heartbeat: Heartbeat) -> list[Any]:
    return [
        heartbeat.heads,
        heartbeat.roots,
        heartbeat.skipped,
        heartbeat.acknowledged,
        heartbeat.tombstone_floor,
        heartbeat.recently_in_sync,
        heartbeat.zone_ages,
        None if heartbeat.route is None else _route_to_wire(heartbeat.route),
    ]


def _route_to_wire(route: RouteAdvertisement) -> list[Any]:
    return [
        f"{route.root_rank:x}",
        route.root_incarnation,
        route.sequence,
        route.is_root_path,
        route.member_count,
    ]


def _bye_to_wire(bye: Bye) -> dict[str, Any]:
    alternatives = [_member_to_wire(member) for member in bye.alternatives]
    message: dict[str, Any] = {"bye": [bye.close_code, bye.detail, alternatives]}
    if bye.close_code == CloseCode.VERSION:
        message["records"] = _version_notice()
    return message


def _member_to_wire(member: Member) -> list[Any]:
    return [member.name, *member.address, member.region, member.zone, member.incarnation]


def _version_notice() -> list[dict[str, Any]]:
    """What a replica of protocol 1 rejects, and logs, as a bad key: the text names both versions."""
    text = f"state/this link needs protocol {PROTOCOL_VERSION}, this copy speaks 1 (whole digests)"
    return [{"key": text, "value": None, "version": 1, "node": f"protocol {PROTOCOL_VERSION}"}]


def record_to_wire(record: StoreRecord) -> list[Any]:
    """A record as it stands in a message."""
    return [record.key, record.value, record.version, record.node, record.written_ms]


# ---------------------------------------------------------------- decoding


def decode_message(message: dict[str, Any], peer: str) -> Message:
    """The message of a decoded payload; ``peer`` is named in rejections.

    Raises SessionRejected for an unknown kind or an invalid body, and whatever a body of unexpected types
    raises when it is taken apart (``MALFORMED_BODY_ERRORS``).
    """
    kind = next(iter(message))
    decoder = _DECODERS.get(kind)
    if decoder is None:
        raise SessionRejected(f"unknown message {str(kind)[:MAX_QUOTED_LENGTH]!r}")
    return decoder(message[kind], peer)


def _decode_digest(_body: Any, peer: str) -> Message:
    raise _protocol_mismatch(peer, "1 (whole digests)")


def _protocol_mismatch(peer: str, version: Any) -> SessionRejected:
    text = f"{peer} speaks protocol {version}, this copy speaks {PROTOCOL_VERSION}"
    return SessionRejected(text, CloseCode.VERSION)


def _decode_hello(body: Any, peer: str) -> Hello:
    if body["protocol"] != PROTOCOL_VERSION:
        raise _protocol_mismatch(peer, body["protocol"])
    location = body["member"]
    return Hello(
        node=str(body["node"]),
        incarnation=_natural(body["incarnation"], 1),
        heads=_by_priority(body["heads"]),
        roots=_by_priority(body["roots"]),
        counts=_by_priority(body["counts"]),
        recently_in_sync=body["fresh"] is True,
        holds_replicated_records=body["foreign"] is True,
        tombstone_floor=_natural(body["floor"]),
        is_ephemeral=body["guest"] is True,
        location=None if location is None else _decode_location(location),
    )


def _decode_location(body: Any) -> ReplicaLocation:
    host, port, region, zone = body
    return ReplicaLocation((str(host), _natural(port)), str(region), str(zone))


def _decode_follow(body: Any, _peer: str) -> Follow:
    positions = []
    for _, (backlog, backlog_end, live) in zip(PRIORITY_CLASSES, body, strict=True):
        position = FollowPosition(_natural(backlog + 1) - 1, _natural(backlog_end), _natural(live))
        positions.append(position)
    return Follow(tuple(positions))


def _decode_chunk(body: Any, _peer: str) -> Chunk:
    priority, stream, start, end, records = body
    if priority not in PRIORITY_CLASSES or stream not in tuple(ChangeStream):
        raise SessionRejected("changes that nobody asked for")
    return Chunk(
        priority=PriorityClass(priority),
        stream=ChangeStream(stream),
        start=_natural(start),
        end=_natural(end),
        records=_decode_records(records),
    )


def _decode_acknowledgement(body: Any, _peer: str) -> Acknowledgement:
    return Acknowledgement(_acknowledged_positions(body))


def _acknowledged_positions(body: Any) -> tuple[AcknowledgedPosition, ...]:
    # Their range is checked where it is known what was sent.
    return tuple(
        AcknowledgedPosition(backlog, live) for _, (backlog, live) in zip(PRIORITY_CLASSES, body, strict=True)
    )


def _decode_heartbeat(body: Any, _peer: str) -> Heartbeat:
    heads, roots, skipped, acknowledged, floor, recently_in_sync, zone_ages, route = body
    return Heartbeat(
        heads=_by_priority(heads),
        roots=_by_priority(roots),
        zone_ages=_decode_zone_ages(zone_ages),
        acknowledged=None if acknowledged is None else _acknowledged_positions(acknowledged),
        tombstone_floor=_natural(floor),
        recently_in_sync=recently_in_sync is True,
        route=None if route is None else _decode_route(route),
        skipped=None if skipped is None else _decode_skipped(skipped),
    )


def _decode_zone_ages(body: Any) -> dict[str, float]:
    if not isinstance(body, dict) or len(body) > MAX_ZONES:
        raise SessionRejected("too many zones")
    for age in body.values():
        if not isinstance(age, int | float) or isinstance(age, bool) or not 0.0 <= age < MAX_ZONE_AGE_S:
            raise SessionRejected("no age")
    return body


def _decode_route(body: Any) -> RouteAdvertisement:
    rank, incarnation, sequence, is_root_path, member_count = body
    if not isinstance(rank, str) or len(rank) > MAX_RANK_LENGTH:
        raise SessionRejected("no beacon")
    return RouteAdvertisement(
        root_rank=int(rank, 16),
        root_incarnation=_natural(incarnation),
        sequence=_natural(sequence),
        is_root_path=is_root_path is True,
        member_count=_natural(member_count),
    )


def _decode_skipped(body: Any) -> tuple[SkippedRange, ...]:
    return tuple(
        SkippedRange(start, _natural(end)) for _, (start, end) in zip(PRIORITY_CLASSES, body, strict=True)
    )


def _decode_node_request(body: Any, _peer: str) -> NodeRequest:
    nodes = []
    for priority, depth, position in _requested_items(body):
        is_known = priority in PRIORITY_CLASSES and 0 <= _natural(depth) <= DEPTH
        if not is_known or _natural(position) >= FANOUT**depth:
            raise SessionRejected("no node of the tree")
        nodes.append(TreeNode(priority, depth, position))
    return NodeRequest(nodes)


def _decode_record_request(body: Any, _peer: str) -> RecordRequest:
    keys = _requested_items(body)
    if not all(isinstance(key, str) for key in keys):
        raise SessionRejected("no key")
    return RecordRequest(keys)


def _requested_items(body: Any) -> list[Any]:
    if not isinstance(body, list) or not 1 <= len(body) <= MAX_REQUESTED_ITEMS:
        raise SessionRejected("asked for too much, or for nothing")
    return body


def _decode_node_response(body: Any, _peer: str) -> NodeResponse:
    count, contents = body
    if len(contents) != _natural(count):
        raise SessionRejected("answers and their count differ")
    return NodeResponse(count, [_decode_node_content(content) for content in contents])


def _decode_node_content(body: Any) -> NodeContent:
    if isinstance(body, list):
        if len(body) != FANOUT:
            raise SessionRejected("no node of the tree")
        return [_natural(child) for child in body]
    return {
        str(key): RecordVersion(_natural(version, 1), str(node), _natural(digest, 1))
        for key, (version, node, digest) in body.items()
    }


def _decode_record_response(body: Any, _peer: str) -> RecordResponse:
    count, records = body
    return RecordResponse(_natural(count), _decode_records(records))


def _decode_records(body: Any) -> list[StoreRecord]:
    """All of them or none."""
    try:
        return [
            parse_record({"key": key, "value": value, "version": version, "node": node, "written_ms": ms})
            for key, value, version, node, ms in body
        ]
    except (InvalidRecordError, TypeError, ValueError) as error:
        raise SessionRejected(f"no record: {error}") from error


def _decode_bye(body: Any, _peer: str) -> Bye:
    alternatives = list(body[2])
    return Bye(
        close_code=str(body[0]),
        detail=str(body[1])[:MAX_CLOSE_DETAIL_LENGTH],
        alternatives=_decode_alternatives(alternatives[:MAX_ALTERNATIVES]),
        names_alternatives=bool(alternatives),
    )


def _decode_alternatives(body: list[Any]) -> tuple[Member, ...]:
    """Those that can be read; a peer of another version may name them in another way."""
    members = []
    for fields in body:
        try:
            members.append(_decode_member(fields))
        except (TypeError, ValueError):
            continue
    return tuple(members)


def _decode_member(body: Any) -> Member:
    name, host, port, region, zone, incarnation = body
    address = str(host), _natural(port)
    return Member(str(name), address, str(region), str(zone), _natural(incarnation))


def _by_priority(body: Any) -> tuple[int, ...]:
    if not isinstance(body, list) or len(body) != len(PRIORITY_CLASSES):
        raise SessionRejected("not so many lanes")
    return tuple(_natural(value) for value in body)


def _natural(value: Any, minimum: int = 0) -> int:
    if not isinstance(value, int) or isinstance(value, bool) or value < minimum:
        raise SessionRejected(f"no count: {str(value)[:MAX_QUOTED_LENGTH]}")
    return value


_DECODERS: dict[str, Callable[[Any, str], Message]] = {
    "digest": _decode_digest,
    "hello": _decode_hello,
    "follow": _decode_follow,
    "changes": _decode_chunk,
    "ack": _decode_acknowledgement,
    "beat": _decode_heartbeat,
    "ask": _decode_node_request,
    "nodes": _decode_node_response,
    "get": _decode_record_request,
    "give": _decode_record_response,
    "bye": _decode_bye,
}
KINDS_WITHOUT_HELLO = frozenset({"digest", "hello", "bye"})
