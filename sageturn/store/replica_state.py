"""The small file beside the log: what a replica has to remember apart from its records."""

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
    """How far a replica was in sync, and which deletions it has forgotten.

    ``last_in_sync`` is Unix seconds, None if the replica is not known to have ever held all that others do.
    ``tombstone_floor`` is the largest version among the deletions that were forgotten.
    """

    last_in_sync: float | None = None
    tombstone_floor: int = 0


def _encode(state: ReplicaState) -> str:
    return json.dumps({"in_step": state.last_in_sync, "floor": state.tombstone_floor})


def _decode(text: str) -> ReplicaState:
    fields = json.loads(text)
    last_in_sync = fields["in_step"]
    tombstone_floor = int(fields["floor"])
    return ReplicaState(None if last_in_sync is None else float(last_in_sync), tombstone_floor)


def read_replica_state(path: Path) -> ReplicaState:
    """Reads the file. A missing or damaged one counts as never in sync, which is safe."""
    try:
        return _decode(path.read_text(encoding="utf-8"))
    except FileNotFoundError:
        return ReplicaState()
    except (OSError, ValueError, KeyError, TypeError) as error:
        log.warning("replica state unreadable path=%s reason=%s", path, error)
        return ReplicaState()


def write_replica_state(path: Path, state: ReplicaState) -> None:
    """Replaces the file atomically, durable once this returns. Raises OSError."""
    replacement = path.with_name(path.name + ".new")
    with replacement.open("w", encoding="utf-8") as file:
        file.write(_encode(state))
        file.flush()
        os.fsync(file.fileno())
    replacement.replace(path)


class ReplicaStateFile:
    """Holds a replica's state, and writes it to the file beside the log.

    A write that fails is repeated with the next one. Until then a restart reads an older state, which is
    safe.
    """

    def __init__(self, log_path: Path | None) -> None:
        """Reads the state of the log at ``log_path``; None keeps it in memory only."""
        self._log_path = log_path
        self._path = None if log_path is None else log_path.with_name(log_path.name + FILE_SUFFIX)
        self.state = ReplicaState() if self._path is None else read_replica_state(self._path)
        self._is_unwritten = False
        self._written_last_in_sync = self.state.last_in_sync

    def set_last_in_sync(self, at: float | None) -> None:
        """Sets the Unix seconds until which this replica held all that others did; None for not known.

        A time shortly after the one in the file is kept in memory only.
        """
        state = replace(self.state, last_in_sync=at)
        written = self._written_last_in_sync
        if at is None or written is None or at - written >= SYNC_TIME_WRITE_INTERVAL_S:
            self._written_last_in_sync = at
            self._try_to_write(state)
        else:
            self.state = state

    def raise_tombstone_floor(self, floor: int) -> None:
        """Records that deletions up to version ``floor`` were forgotten, here or by another replica."""
        if floor > self.state.tombstone_floor:
            self._try_to_write(replace(self.state, tombstone_floor=floor))

    def write(self, state: ReplicaState) -> None:
        """Replaces the state, and writes it. Raises OSError if only the memory has it now."""
        self.state = state
        self._is_unwritten = True
        if self._path is not None:
            write_replica_state(self._path, state)
        self._is_unwritten = False

    def flush(self) -> None:
        """Writes the state if the last write has failed. Raises OSError if this one fails too."""
        if self._is_unwritten:
            self.write(self.state)

    def _try_to_write(self, state: ReplicaState) -> None:
        try:
            self.write(state)
        except OSError as error:
            log.warning("replica state not written path=%s reason=%s", self._log_path, error)
