"""Snapshots of the balancer's view of its endpoints, for components that plan around its decisions."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from sageturn.decision import EndpointStatus
from sageturn.decision.balancer import Balancer
from sageturn.decision.state import EndpointState


@dataclass(frozen=True, slots=True)
class EndpointSnapshot:
    """The balancer's view of one endpoint. ``size`` reflects its weight and its slow start."""

    name: str
    size: float
    is_ready: bool  # listed as ready, and not ejected
    # Number of attempts that it may be sent before it answers one; 0 while it is full or sheds load.
    available_capacity: int
    zone: str = ""
    is_draining: bool = False
    is_ejected: bool = False  # listed as ready, but ejected for failures
    started_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class EndpointRestrictions:
    """Names of the endpoints that operators restrict by overrides."""

    rebalance_excluded: frozenset[str] = frozenset()
    out_of_service: frozenset[str] = frozenset()
    evacuating: frozenset[str] = frozenset()  # all connections of these are to be migrated


def snapshot_endpoints(
    balancer: Balancer, now_ms: float, names: Iterable[str] | None = None
) -> list[EndpointSnapshot]:
    """Return every endpoint that has not been removed, in the order in which the balancer first saw them.

    With ``names``, only these are returned, sorted by name.
    """
    endpoints_by_name = balancer.endpoints
    if names is None:
        chosen = list(endpoints_by_name.values())
    else:
        chosen = [endpoints_by_name[name] for name in sorted(names) if name in endpoints_by_name]
    return [
        _snapshot(balancer, now_ms, endpoint)
        for endpoint in chosen
        if endpoint.state != EndpointStatus.REMOVED
    ]


def _snapshot(balancer: Balancer, now_ms: float, endpoint: EndpointState) -> EndpointSnapshot:
    return EndpointSnapshot(
        name=endpoint.name,
        size=endpoint.weights.effective,
        is_ready=endpoint.ready,
        available_capacity=_available_capacity(balancer, now_ms, endpoint),
        zone=endpoint.zone,
        is_draining=endpoint.state == EndpointStatus.DRAINING,
        is_ejected=endpoint.state == EndpointStatus.READY and not endpoint.ready,
        started_ms=endpoint.started_at_ms or 0.0,
    )


def _available_capacity(balancer: Balancer, now_ms: float, endpoint: EndpointState) -> int:
    is_saturated = now_ms < endpoint.load.saturated_until_ms
    if endpoint.overload.is_shedding or is_saturated or not endpoint.ready or endpoint.is_at_quota():
        capacity = 0
    else:
        capacity = max(0, endpoint.connections.concurrency_limit - endpoint.connections.in_flight)
    started_at_ms = endpoint.started_at_ms
    if endpoint.slow_start is None or started_at_ms is None:
        return capacity
    if now_ms < started_at_ms + balancer.settings.slow_start_ms:
        # Slow start permits are issued one at a time.
        return min(capacity, int(balancer.fleet.check_slow_start_permit(now_ms, endpoint)))
    return capacity
