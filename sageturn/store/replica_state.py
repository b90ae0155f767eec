"""What a copy has to remember beside its records, in a small file next to the log."""

from __future__ import annotations

import json
import logging
import os
from dataclasses import asdict, dataclass
from pathlib import Path

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class ReplicaState:
    in_step: float | None = None  # Unix seconds; None: not known to have ever held all that the others do
    floor: int = 0  # the largest version among deletions that were forgotten


def read_standing(path: Path) -> ReplicaState:
    """One that is missing or damaged counts as unknown, which is the careful reading."""
    try:
        obj = json.loads(path.read_text(encoding="utf-8"))
        in_step = obj["in_step"]
        return ReplicaState(None if in_step is None else float(in_step), int(obj["floor"]))
    except FileNotFoundError:
        return ReplicaState()
    except (OSError, ValueError, KeyError, TypeError) as error:
        log.warning("store: %s: not readable, so this copy counts as long away: %s", path, error)
        return ReplicaState()


def write_standing(path: Path, standing: ReplicaState) -> None:
    """Whole or not at all, and durable once this returns."""
    fresh = path.with_name(path.name + ".new")
    with open(fresh, "w", encoding="utf-8") as file:
        json.dump(asdict(standing), file)
        file.flush()
        os.fsync(file.fileno())
    os.replace(fresh, path)
