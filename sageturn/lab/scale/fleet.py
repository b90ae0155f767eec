"""Members of one size: their names, their zones and regions, and the peers that each one dials."""

from __future__ import annotations

from sageturn.lab.scale.plan import ScaleExperiment, Size, Topology

BETWEEN_REGIONS = "between"
WITHIN_REGION = "region"
WITHIN_ZONE = "zone"

SEED_PEER_COUNT = 2


def link_name(experiment: ScaleExperiment, source_zone: int, target_zone: int) -> str:
    """Return the name of the link between two zones, such as ``region:0-2``, the same for both directions."""
    low = min(source_zone, target_zone)
    high = max(source_zone, target_zone)
    if low == high:
        link_class = WITHIN_ZONE
    elif experiment.region_of(low) == experiment.region_of(high):
        link_class = WITHIN_REGION
    else:
        link_class = BETWEEN_REGIONS
    return f"{link_class}:{low}-{high}"


def peers_of(size: Size, member: int, zones: int) -> list[int]:
    """Return the numbers of the members that the member number ``member`` is configured to dial."""
    if size.topology == Topology.MESH:
        return list(range(member))
    if size.topology == Topology.TREE:
        return [(member - 1) // size.fanout] if member else []
    return [other for other in range(min(zones, size.members)) if other != member][:SEED_PEER_COUNT]


class Fleet:
    """The members of one size. The first ``size.real`` ones are whole relays, the others emulated members."""

    def __init__(self, experiment: ScaleExperiment, size: Size) -> None:
        self._experiment = experiment
        self.names = [f"r{number:04d}" for number in range(size.members)]
        self.emulated_names = self.names[size.real :]
        self._real_count = size.real
        self._numbers = {name: number for number, name in enumerate(self.names)}

    def is_real(self, member: int) -> bool:
        """Return True if the member with this number is a whole relay."""
        return member < self._real_count

    def zone_of(self, name: str) -> int:
        """Return the number of a member's zone."""
        return self._experiment.zone_of(self._numbers[name])

    def region_of(self, name: str) -> int:
        """Return the number of a member's region."""
        return self._experiment.region_of(self.zone_of(name))
