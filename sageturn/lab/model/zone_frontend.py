"""The frontend that spreads the clients of each zone over the zone's live relays."""

from __future__ import annotations

from collections.abc import Iterable

from sageturn.lab.model.fleet_spec import FleetSpec
from sageturn.lab.model.sampling import ClientSampler


class ZoneFrontend:
    """Chooses relays; a zone's last live relay stays in place when it is killed."""

    def __init__(self, spec: FleetSpec) -> None:
        self._spec = spec
        self._live_relays: dict[str, list[int]] = {zone: [] for zone in spec.zones}
        for relay in range(spec.relays):
            self._live_relays[spec.zone(relay)].append(relay)

    def choose_relay(self, zone: str, sampler: ClientSampler) -> int:
        """Samples a live relay of a zone."""
        live = self._live_relays[zone]
        return live[sampler.index_below(len(live))]

    def remove_relays(self, relays: Iterable[int]) -> None:
        """Stops sending clients to these relays; to some of them it may have stopped before."""
        for relay in relays:
            live = self._live_relays[self._spec.zone(relay)]
            if len(live) > 1 and relay in live:
                live.remove(relay)

    def restore_relays(self) -> None:
        """Starts sending clients to all relays again."""
        for relay in range(self._spec.relays):
            live = self._live_relays[self._spec.zone(relay)]
            if relay not in live:
                live.append(relay)
                live.sort()
