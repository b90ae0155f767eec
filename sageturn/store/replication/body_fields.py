"""Decoders of the fields that several kinds of messages share: numbers, lists, positions and records.

They raise SessionRejectedError for an invalid value, and one of ``MALFORMED_BODY_ERRORS`` for a body of
unexpected types.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from typing import Any, TypeVar, overload

from sageturn.store.errors import InvalidRecordError, SessionRejectedError
from sageturn.store.records import StoreRecord, parse_record
from sageturn.store.replication.cursor import BACKLOG_UNKNOWN
from sageturn.store.replication.messages import AcknowledgedPosition
from sageturn.store.replication.priority import PRIORITY_CLASSES

MALFORMED_BODY_ERRORS = (KeyError, TypeError, ValueError, IndexError, AttributeError)
MAX_QUOTED_LENGTH = 40  # characters of a peer's text that a rejection quotes

_Item = TypeVar("_Item")


class LazySequence(Sequence[_Item]):
    """The items of a body, each of which is decoded when an iteration reaches it."""

    __slots__ = ("_body", "_decode_item")

    def __init__(self, body: Any, decode_item: Callable[[Any], _Item]) -> None:
        self._body = body
        self._decode_item = decode_item

    def __iter__(self) -> Iterator[_Item]:
        for item in self._body:
            yield self._decode_item(item)

    def __len__(self) -> int:
        return len(self._body)

    @overload
    def __getitem__(self, index: int) -> _Item: ...

    @overload
    def __getitem__(self, index: slice) -> list[_Item]: ...

    def __getitem__(self, index: int | slice) -> _Item | list[_Item]:
        return list(self)[index]


class LazyRecords(Sequence[StoreRecord]):
    """The records of a chunk, which are decoded together at their first use: all of them or none."""

    __slots__ = ("_body", "_records")

    def __init__(self, body: Any) -> None:
        self._body = body
        self._records: list[StoreRecord] | None = None

    def _decoded(self) -> list[StoreRecord]:
        if self._records is None:
            self._records = decode_records(self._body)
        return self._records

    def __len__(self) -> int:
        return len(self._decoded())

    @overload
    def __getitem__(self, index: int) -> StoreRecord: ...

    @overload
    def __getitem__(self, index: slice) -> list[StoreRecord]: ...

    def __getitem__(self, index: int | slice) -> StoreRecord | list[StoreRecord]:
        return self._decoded()[index]


def decode_records(body: Any) -> list[StoreRecord]:
    """Decode all records of a list, or none. Raise SessionRejectedError for an invalid one."""
    try:
        return [
            parse_record(
                {"key": key, "value": value, "version": version, "node": node, "written_ms": written_ms}
            )
            for key, value, version, node, written_ms in body
        ]
    except (InvalidRecordError, TypeError, ValueError) as error:
        raise SessionRejectedError(f"no record: {error}") from error


def decode_acknowledged_positions(body: Any) -> Sequence[AcknowledgedPosition]:
    """Decode what a peer has received; each position is decoded once the one before it was applied."""
    return LazySequence(body, _decode_acknowledged_position)


def _decode_acknowledged_position(body: Any) -> AcknowledgedPosition:
    # The range is checked by ``ChunkSender``, which knows what was sent.
    backlog, live = body
    return AcknowledgedPosition(decode_count(backlog, BACKLOG_UNKNOWN), decode_count(live))


def decode_counts_by_priority(body: Any) -> tuple[int, ...]:
    """Decode one number for each priority class."""
    if not isinstance(body, list) or len(body) != len(PRIORITY_CLASSES):
        raise SessionRejectedError("not so many lanes")
    return tuple(decode_count(value) for value in body)


def decode_count(value: Any, minimum: int = 0) -> int:
    """Return ``value`` if it is an integer of at least ``minimum``, else raise SessionRejectedError."""
    if not isinstance(value, int) or isinstance(value, bool) or value < minimum:
        raise SessionRejectedError(f"no count: {str(value)[:MAX_QUOTED_LENGTH]}")
    return value
