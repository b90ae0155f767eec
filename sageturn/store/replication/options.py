"""Options of the replication, from section ``store`` of an operator's file (see ``config/loader.py``)."""

from __future__ import annotations

from dataclasses import dataclass

DEFAULT_MAX_BYTES_PER_S = 13_500.0  # sent; as much may come in, and a relay may use 27 KB/s for control
MIN_MAX_BYTES_PER_S = 8192.0  # a chunk and a hello have to fit
DEFAULT_HORIZON_S = 7 * 86400.0
MIN_HORIZON_S = 3600.0


@dataclass(frozen=True, slots=True)
class ReplicationOptions:
    """How a member takes part in replication."""

    listen: tuple[str, int]
    seeds: tuple[tuple[str, int], ...]  # any members; the others are learnt from them
    secret: bytes
    region: str = ""
    zone: str = ""
    max_bytes_per_s: float = DEFAULT_MAX_BYTES_PER_S  # to all other members together
    horizon_s: float = DEFAULT_HORIZON_S  # how long deletions are remembered
