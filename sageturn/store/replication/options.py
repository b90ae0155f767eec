"""Options of the replication, from section ``store`` of an operator's file (see ``config/loader.py``)."""

from __future__ import annotations

from dataclasses import dataclass

from sageturn.store.replication.membership import Address

DEFAULT_MAX_BYTES_PER_S = 13_500.0  # sent: half of a relay's 27 KB/s for control traffic
MIN_MAX_BYTES_PER_S = 8192.0  # fits a chunk and a hello
DEFAULT_HORIZON_S = 7 * 86400.0
MIN_HORIZON_S = 3600.0


@dataclass(frozen=True, slots=True)
class ReplicationOptions:
    """How a member takes part in replication.

    ``seeds`` are addresses of any members, from which the others are learnt. ``max_bytes_per_s`` bounds what
    is sent to all other members together; ``horizon_s`` is how long deletions are remembered.
    """

    listen: Address
    seeds: tuple[Address, ...]
    secret: bytes
    region: str = ""
    zone: str = ""
    max_bytes_per_s: float = DEFAULT_MAX_BYTES_PER_S
    horizon_s: float = DEFAULT_HORIZON_S
