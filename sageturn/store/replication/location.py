"""Where a replica can be reached, and the zone it runs in."""

from __future__ import annotations

from dataclasses import dataclass

from sageturn.store.replication.topology import Address


@dataclass(frozen=True, slots=True)
class ReplicaLocation:
    """The address that a member advertises, with its region and zone."""

    address: Address
    region: str = ""
    zone: str = ""

    @property
    def zone_label(self) -> str:
        """``region/zone``: the name under which heartbeats carry the age of a zone's last message."""
        return f"{self.region}/{self.zone}"
