"""The small file beside the log: what a replica has to remember apart from its records."""

from __future__ import annotations

import json
import logging
import os
from dataclasses import dataclass
from pathlib import Path

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class ReplicaState:
    """How far a replica was in sync, and which deletions it has forgotten."""

    last_in_sync: float | None = None  # Unix seconds; None: not known to have ever held all that others do
    tombstone_floor: int = 0  # the largest version among deletions that were forgotten


def _encode(state: ReplicaState) -> str:
    return json.dumps({"in_step": state.last_in_sync, "floor": state.tombstone_floor})


def _decode(text: str) -> ReplicaState:
    fields = json.loads(text)
    last_in_sync = fields["in_step"]
    tombstone_floor = int(fields["floor"])
    return ReplicaState(None if last_in_sync is None else float(last_in_sync), tombstone_floor)


def read_replica_state(path: Path) -> ReplicaState:
    """Read the file; one that is missing or damaged counts as unknown, which is the careful reading."""
    try:
        return _decode(path.read_text(encoding="utf-8"))
    except FileNotFoundError:
        return ReplicaState()
    except (OSError, ValueError, KeyError, TypeError) as error:
        log.warning("replica state unreadable, treated as long out of sync path=%s error=%s", path, error)
        return ReplicaState()


def write_replica_state(path: Path, state: ReplicaState) -> None:
    """Replace the file atomically; durable once this returns."""
    replacement = path.with_name(path.name + ".new")
    with open(replacement, "w", encoding="utf-8") as file:
        file.write(_encode(state))
        file.flush()
        os.fsync(file.fileno())
    os.replace(replacement, path)
