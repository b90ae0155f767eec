"""The encoder and the decoder of heartbeats; ``message_codec`` handles all other messages."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Any

from sageturn.store.errors import SessionRejectedError
from sageturn.store.replication.body_fields import (
    LazySequence,
    decode_acknowledged_positions,
    decode_count,
    decode_counts_by_priority,
)
from sageturn.store.replication.messages import (
    MAX_ZONES,
    Acknowledgement,
    Heartbeat,
    OutgoingHeartbeat,
    SkippedRange,
)
from sageturn.store.replication.routes import RouteAdvertisement

MAX_ZONE_AGE_S = 1e9
MAX_RANK_DIGITS = 32  # hexadecimal


def heartbeat_to_wire(heartbeat: OutgoingHeartbeat) -> list[Any]:
    """Return the wire form of a heartbeat's body."""
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


@dataclass(frozen=True, slots=True)
class ReceivedHeartbeat(Heartbeat):
    """Heartbeat of a peer whose fields are decoded on demand, one by each method.

    A session applies the fields in the order of these methods, and skips those that do not concern it: a
    malformed field, for which its method raises SessionRejectedError, does not undo those already applied.
    """

    recently_in_sync: bool
    raw_acknowledged: Any
    raw_tombstone_floor: Any
    raw_zone_ages: dict[str, Any]
    raw_route: Any
    raw_skipped: Any

    def acknowledgement(self) -> Acknowledgement | None:
        """Return the positions that the peer has acknowledged; None if it does not follow changes yet."""
        if self.raw_acknowledged is None:
            return None
        return Acknowledgement(decode_acknowledged_positions(self.raw_acknowledged))

    def tombstone_floor(self) -> int:
        """Return the peer's tombstone floor."""
        return decode_count(self.raw_tombstone_floor)

    def zone_ages(self) -> Iterator[tuple[str, float]]:
        """Yield each zone with the seconds since the last known message from it was sent."""
        for zone, age in self.raw_zone_ages.items():
            if not isinstance(age, int | float) or isinstance(age, bool) or not 0.0 <= age < MAX_ZONE_AGE_S:
                raise SessionRejectedError("no age")
            yield zone, age

    def route(self) -> RouteAdvertisement | None:
        """Return the peer's route advertisement; None if it has no topology."""
        return None if self.raw_route is None else _decode_route(self.raw_route)

    def skipped(self) -> Sequence[SkippedRange] | None:
        """Return the live revisions that the peer skips because they hold nothing new for this side.

        None until the peer sends changes.
        """
        return None if self.raw_skipped is None else LazySequence(self.raw_skipped, _decode_skipped_range)


def decode_heartbeat(body: Any) -> ReceivedHeartbeat:
    """Decode the fields of a heartbeat that every session needs.

    Raise SessionRejectedError, or one of ``MALFORMED_BODY_ERRORS``, if the body is malformed.
    """
    heads, roots, skipped, acknowledged, floor, recently_in_sync, zone_ages, route = body
    decoded_heads = decode_counts_by_priority(heads)
    decoded_roots = decode_counts_by_priority(roots)
    if not isinstance(zone_ages, dict) or len(zone_ages) > MAX_ZONES:
        raise SessionRejectedError("too many zones")
    return ReceivedHeartbeat(
        heads=decoded_heads,
        roots=decoded_roots,
        recently_in_sync=recently_in_sync is True,
        raw_acknowledged=acknowledged,
        raw_tombstone_floor=floor,
        raw_zone_ages=zone_ages,
        raw_route=route,
        raw_skipped=skipped,
    )


def _decode_route(body: Any) -> RouteAdvertisement:
    rank, incarnation, sequence, is_root_path, member_count = body
    if not isinstance(rank, str) or len(rank) > MAX_RANK_DIGITS:
        raise SessionRejectedError("no beacon")
    return RouteAdvertisement(
        root_rank=int(rank, 16),
        root_incarnation=decode_count(incarnation),
        sequence=decode_count(sequence),
        is_root_path=is_root_path is True,
        member_count=decode_count(member_count),
    )


def _decode_skipped_range(body: Any) -> SkippedRange:
    start, end = body
    return SkippedRange(decode_count(start), decode_count(end))
