"""The state file next to the log: what a replica has to persist besides its records."""

from __future__ import annotations

import json
import logging
import os
from dataclasses import dataclass, replace
from pathlib import Path

log = logging.getLogger(__name__)

FILE_SUFFIX = ".standing"
SYNC_TIME_WRITE_INTERVAL_S = 60.0


@dataclass(frozen=True, slots=True)
class ReplicaState:
    """The time at which a replica was last in sync, and its tombstone floor.

    Attributes:
        last_in_sync: Unix seconds; None if the replica is not known to have ever held all records of the
            others.
        tombstone_floor: The largest version among the tombstones that were discarded.
        was_removed: True if an operator removed this member and it has not been in sync since.
        unsent_since: Unix seconds after which records were written that others may lack, while
            ``last_in_sync`` is None because the replica has started over; None if unknown.
    """

    last_in_sync: float | None = None
    tombstone_floor: int = 0
    was_removed: bool = False
    unsent_since: float | None = None

    @property
    def last_confirmed_sync(self) -> float | None:
        """Unix seconds of the last time in sync, also of one before the replica started over."""
        return self.unsent_since if self.last_in_sync is None else self.last_in_sync


def _encode(state: ReplicaState) -> str:
    fields: dict[str, object] = {"in_step": state.last_in_sync, "floor": state.tombstone_floor}
    if state.was_removed:
        fields["removed"] = True
    if state.unsent_since is not None:
        fields["unsent_since"] = state.unsent_since
    return json.dumps(fields)


def _decode(text: str) -> ReplicaState:
    fields = json.loads(text)
    return ReplicaState(
        last_in_sync=_decode_time(fields["in_step"]),
        tombstone_floor=int(fields["floor"]),
        was_removed=fields.get("removed") is True,
        unsent_since=_decode_time(fields.get("unsent_since")),
    )


def _decode_time(value: float | None) -> float | None:
    return None if value is None else float(value)


def read_replica_state(path: Path) -> ReplicaState:
    """Return the state in the file. A missing or damaged file counts as never in sync, which is safe."""
    try:
        return _decode(path.read_text(encoding="utf-8"))
    except FileNotFoundError:
        return ReplicaState()
    except (OSError, ValueError, KeyError, TypeError) as error:
        log.warning("replica state unreadable path=%s reason=%s", path, error)
        return ReplicaState()


def write_replica_state(path: Path, state: ReplicaState) -> None:
    """Replace the file atomically, durable once this returns. Raise OSError if it cannot be written."""
    replacement = path.with_name(path.name + ".new")
    with replacement.open("w", encoding="utf-8") as file:
        file.write(_encode(state))
        file.flush()
        os.fsync(file.fileno())
    replacement.replace(path)


class ReplicaStateFile:
    """The state of a replica, persisted in a file next to the log.

    The next write or ``flush`` replaces a write that failed. Until then a restart reads an older state, which
    is safe.
    """

    def __init__(self, log_path: Path | None) -> None:
        """Read the state that belongs to the log at ``log_path``; None keeps the state in memory only."""
        self._log_path = log_path
        self._path = None if log_path is None else log_path.with_name(log_path.name + FILE_SUFFIX)
        self.state = ReplicaState() if self._path is None else read_replica_state(self._path)
        self._is_unwritten = False
        self._written_last_in_sync = self.state.last_in_sync

    def set_last_in_sync(self, at: float | None) -> None:
        """Set the Unix time at which this replica was last in sync; None if unknown.

        A time less than ``SYNC_TIME_WRITE_INTERVAL_S`` after the one in the file is held in memory only.
        """
        if at is None:
            state = replace(self.state, last_in_sync=None)
        else:
            state = ReplicaState(at, self.state.tombstone_floor)
        written = self._written_last_in_sync
        if at is None or written is None or at - written >= SYNC_TIME_WRITE_INTERVAL_S:
            self._written_last_in_sync = at
            self._try_to_write(state)
        else:
            self.state = state

    def mark_removed(self) -> None:
        """Record that an operator removed this member, which then does not count as having been in sync."""
        self._written_last_in_sync = None
        self._try_to_write(ReplicaState(None, self.state.tombstone_floor, was_removed=True))

    def on_start_over(self) -> None:
        """Record that this replica is not in sync any more, and since when records may be unsent.

        Raises:
            OSError: Only the memory has the new state.
        """
        state = self.state
        self._written_last_in_sync = None
        self.write(ReplicaState(None, state.tombstone_floor, unsent_since=state.last_confirmed_sync))

    def raise_tombstone_floor(self, floor: int) -> None:
        """Record that tombstones up to version ``floor`` were discarded, here or by another replica."""
        if floor > self.state.tombstone_floor:
            self._try_to_write(replace(self.state, tombstone_floor=floor))

    def write(self, state: ReplicaState) -> None:
        """Replace the state and write it to the file. Raise OSError if only the memory has it."""
        self.state = state
        self._is_unwritten = True
        if self._path is not None:
            write_replica_state(self._path, state)
        self._is_unwritten = False

    def flush(self) -> None:
        """Write the state again if the last write failed. Raise OSError if this write fails too."""
        if self._is_unwritten:
            self.write(self.state)

    def _try_to_write(self, state: ReplicaState) -> None:
        try:
            self.write(state)
        except OSError as error:
            log.warning("replica state not written path=%s reason=%s", self._log_path, error)
