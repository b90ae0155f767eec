"""Endpoints of a fleet, and the endpoints of its clients at the start of a run."""

from __future__ import annotations

from sageturn import decision
from sageturn.lab.model.endpoint_model import WARM_STARTED_S, EndpointModel
from sageturn.lab.model.fleet_spec import FleetSpec
from sageturn.lab.model.sampling import Client, ClientSampler

SLOTS_PER_SMALLEST_ENDPOINT = 4  # slots are proportional to the size of an endpoint


def make_endpoints(spec: FleetSpec) -> list[EndpointModel]:
    """Return a fleet's endpoints by number: the initial ones are warm, the others start at ``join_s``."""
    return [
        EndpointModel(
            spec.endpoint_name(number),
            spec.kind(number),
            spec.size(number),
            spec.capacity(number),
            spec.zone(number),
            started_s=WARM_STARTED_S if number < spec.initial_endpoints else spec.join_s,
            idle_setup_ms=spec.idle_setup_ms,
            group_cost=spec.group_cost,
            mean_load=spec.mean_load,
            initial_capacity_ratio=spec.initial_capacity_ratio,
            warm_up_s=spec.warm_up_s,
            cold_overload_multiple=spec.cold_overload_multiple,
            overload_window_s=spec.overload_window_s,
        )
        for number in range(spec.endpoints)
    ]


def make_list_entry(
    endpoint: EndpointModel, state: decision.EndpointStatus = decision.EndpointStatus.READY
) -> decision.Endpoint:
    """Return an endpoint's entry in the endpoint list, in the form that the balancer reads."""
    started_ms = endpoint.started_s * 1000.0 if endpoint.started_s > 0 else 0.0
    return decision.Endpoint(endpoint.name, state, endpoint.zone, 0, started_ms, 1.0, endpoint.kind)


class InitialPlacement:
    """Placement of the clients that are connected at the start of a run.

    Clients are spread over the initial endpoints of the relay's zone in proportion to the endpoints' sizes;
    the members of a group share an endpoint.
    """

    def __init__(self, spec: FleetSpec, endpoints: list[EndpointModel]) -> None:
        self._spec = spec
        self._endpoints = endpoints
        self._slots_by_zone: dict[str, list[EndpointModel]] = {}
        self._group = ""
        self._last_endpoint = ""

    def place(self, client: Client, zone: str, sampler: ClientSampler) -> str:
        """Return the name of the endpoint for the next client of a relay in ``zone``."""
        if not self._last_endpoint or not client.group or client.group != self._group:
            slots = self._slots_by_zone.get(zone) or self._make_slots(zone)
            self._last_endpoint = slots[sampler.index_below(len(slots))].name
        self._group = client.group or self._group
        return self._last_endpoint

    def _make_slots(self, zone: str) -> list[EndpointModel]:
        initial = self._endpoints[: self._spec.initial_endpoints]
        if len(self._spec.zones) > 1:
            initial = [endpoint for endpoint in initial if endpoint.zone == zone]
        smallest = min(endpoint.size for endpoint in initial)
        slots = [
            endpoint
            for endpoint in initial
            for _ in range(round(SLOTS_PER_SMALLEST_ENDPOINT * endpoint.size / smallest))
        ]
        self._slots_by_zone[zone] = slots
        return slots
