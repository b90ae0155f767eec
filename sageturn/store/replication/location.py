"""The location of a replica: its address, region and zone."""

from __future__ import annotations

from dataclasses import dataclass

from sageturn.store.replication.membership import Address, Member


def zone_label(region: str, zone: str) -> str:
    """Return the label of a zone in heartbeats and state reports."""
    return f"{region}/{zone}"


@dataclass(frozen=True, slots=True)
class ReplicaLocation:
    """The address that a member advertises, with its region and zone."""

    address: Address
    region: str = ""
    zone: str = ""

    @property
    def zone_label(self) -> str:
        """The label of the zone in heartbeats and state reports."""
        return zone_label(self.region, self.zone)

    def as_member(self, node: str, incarnation: int) -> Member:
        """Return the member with the name ``node`` at this location."""
        return Member(node, self.address, self.region, self.zone, incarnation)
