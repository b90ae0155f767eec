"""The hosts of a fleet, and where its clients are connected at the start of a run."""

from __future__ import annotations

from sageturn import decision
from sageturn.lab.model.endpoint_model import LONG_AGO_S, EndpointModel
from sageturn.lab.model.fleet_spec import FleetSpec
from sageturn.lab.model.sampling import Client, ClientSampler

SLOTS_PER_SMALLEST_HOST = 4  # larger hosts have more, in proportion to their size


def make_hosts(spec: FleetSpec) -> list[EndpointModel]:
    """Returns the hosts of a fleet by number: the initial ones are warm, the others start at ``join_s``."""
    return [
        EndpointModel(
            spec.host_name(number),
            spec.kind(number),
            spec.size(number),
            spec.capacity(number),
            spec.zone(number),
            started_s=LONG_AGO_S if number < spec.initial_hosts else spec.join_s,
            idle_setup_ms=spec.idle_setup_ms,
            group_cost=spec.group_cost,
            mean_load=spec.mean_load,
            initial_capacity_ratio=spec.initial_capacity_ratio,
            warm_up_s=spec.warm_up_s,
            cold_overload_multiple=spec.cold_overload_multiple,
            overload_window_s=spec.overload_window_s,
        )
        for number in range(spec.hosts)
    ]


def describe_endpoint(
    host: EndpointModel, state: decision.EndpointStatus = decision.EndpointStatus.READY
) -> decision.Endpoint:
    """Returns the entry of a host on the balancer's endpoint list."""
    started_ms = host.started_s * 1000.0 if host.started_s > 0 else 0.0
    return decision.Endpoint(host.name, state, host.zone, 0, started_ms, 1.0, host.kind)


class InitialPlacement:
    """Chooses the host of each client that is connected at the start of a run.

    Clients go to the initial hosts of the relay's zone in proportion to the hosts' sizes; a group stays
    together.
    """

    def __init__(self, spec: FleetSpec, hosts: list[EndpointModel]) -> None:
        self._spec = spec
        self._hosts = hosts
        self._slots_by_zone: dict[str, list[EndpointModel]] = {}
        self._group = ""
        self._last_host = ""

    def place(self, client: Client, zone: str, sampler: ClientSampler) -> str:
        """Returns the name of the host for the next client of a relay in ``zone``."""
        if not self._last_host or not client.group or client.group != self._group:
            slots = self._slots_by_zone.get(zone) or self._make_slots(zone)
            self._last_host = slots[sampler.index_below(len(slots))].name
        self._group = client.group or self._group
        return self._last_host

    def _make_slots(self, zone: str) -> list[EndpointModel]:
        initial = self._hosts[: self._spec.initial_hosts]
        if len(self._spec.zones) > 1:
            initial = [host for host in initial if host.zone == zone]
        smallest = min(host.size for host in initial)
        slots = [
            host for host in initial for _ in range(round(SLOTS_PER_SMALLEST_HOST * host.size / smallest))
        ]
        self._slots_by_zone[zone] = slots
        return slots
