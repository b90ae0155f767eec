"""Where a replica can be reached, and the zone it runs in."""

from __future__ import annotations

from dataclasses import dataclass

from sageturn.store.replication.membership import Address, Member


def zone_label(region: str, zone: str) -> str:
    """The name under which heartbeats carry the age of a zone's last message."""
    return f"{region}/{zone}"


@dataclass(frozen=True, slots=True)
class ReplicaLocation:
    """The address that a member advertises, with its region and zone."""

    address: Address
    region: str = ""
    zone: str = ""

    @property
    def zone_label(self) -> str:
        """See the function of that name."""
        return zone_label(self.region, self.zone)

    def as_member(self, node: str, incarnation: int) -> Member:
        """The member of that name at this location."""
        return Member(node, self.address, self.region, self.zone, incarnation)
