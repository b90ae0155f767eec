"""Replication options, from section ``store`` of an operator's file (see ``config/operator.py``)."""

from __future__ import annotations

from dataclasses import dataclass

from sageturn.store.replication.membership import Address

DEFAULT_MAX_BYTES_PER_S = 13_500.0  # send rate: half of a relay's 27 KB/s for control traffic
MIN_MAX_BYTES_PER_S = 8192.0  # one second's quota fits a chunk and a hello
DEFAULT_HORIZON_S = 7 * 86400.0
MIN_HORIZON_S = 3600.0


@dataclass(frozen=True, slots=True)
class ReplicationOptions:
    """Options of a member of the replication group.

    Attributes:
        listen: The address to listen on.
        seeds: Addresses of any members, from which this member learns of the others.
        secret: The key from ``read_secret``.
        region: The region of this member.
        zone: The zone of this member within its region.
        max_bytes_per_s: Limit on the rate at which this member sends to all others together.
        horizon_s: Time for which tombstones are retained.
    """

    listen: Address
    seeds: tuple[Address, ...]
    secret: bytes
    region: str = ""
    zone: str = ""
    max_bytes_per_s: float = DEFAULT_MAX_BYTES_PER_S
    horizon_s: float = DEFAULT_HORIZON_S
