"""What an operator's file says of the spread."""

from __future__ import annotations

from dataclasses import dataclass

OCTETS_PER_S = 13_500.0  # sent; as much may come in, and a relay may use 27 KB/s for control
OCTETS_LEAST = 8192.0  # a part and a greeting have to fit
HORIZON_S = 7 * 86400.0
HORIZON_LEAST_S = 3600.0


@dataclass(frozen=True, slots=True)
class ReplicationOptions:
    listen: tuple[str, int]
    seeds: tuple[tuple[str, int], ...]  # any members; the others are learnt from them
    secret: bytes
    region: str = ""
    zone: str = ""
    octets_per_s: float = OCTETS_PER_S  # to all other members together
    horizon_s: float = HORIZON_S  # how long deletions are remembered
