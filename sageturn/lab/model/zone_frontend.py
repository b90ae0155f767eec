"""Simulated load balancer of the platform, which spreads each zone's clients over its live relays."""

from __future__ import annotations

from collections.abc import Iterable

from sageturn.lab.model.fleet_spec import FleetSpec
from sageturn.lab.model.sampling import ClientSampler


class ZoneFrontend:
    """Table of the live relays by zone; the last live relay of a zone stays listed when it is killed."""

    def __init__(self, spec: FleetSpec) -> None:
        self._spec = spec
        self._live_relays: dict[str, list[int]] = {zone: [] for zone in spec.zones}
        for relay in range(spec.relays):
            self._live_relays[spec.zone(relay)].append(relay)

    def choose_relay(self, zone: str, sampler: ClientSampler) -> int:
        """Sample a live relay of a zone."""
        live = self._live_relays[zone]
        return live[sampler.index_below(len(live))]

    def remove_relays(self, relays: Iterable[int]) -> None:
        """Stop sending clients to these relays; some of them may have been removed before."""
        for relay in relays:
            live = self._live_relays[self._spec.zone(relay)]
            if len(live) > 1 and relay in live:
                live.remove(relay)

    def restore_relays(self) -> None:
        """Resume sending clients to all relays."""
        for relay in range(self._spec.relays):
            live = self._live_relays[self._spec.zone(relay)]
            if relay not in live:
                live.append(relay)
                live.sort()
