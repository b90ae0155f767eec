"""Binds a request that pins select to their endpoints; the balancer chooses among these.

A request is sent to the endpoints that all strict pins on it allow, and if possible to those among them that
all preferred pins on it allow.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from sageturn.overrides.operations import OverridePayload

if TYPE_CHECKING:
    from sageturn.core.balancer_actor import BalancerActor
    from sageturn.decision import RequestArrived


@dataclass(frozen=True, slots=True)
class StickyRoute:
    """Endpoints to which pins bind a request; None if it is not bound. An empty set allows no endpoint."""

    required: frozenset[str] | None
    preferred: frozenset[str] | None


def combine_pins(pins: Iterable[OverridePayload]) -> StickyRoute | None:
    """Return the route of a request that all of these pins select; None if there are no pins."""
    required: frozenset[str] | None = None
    preferred: frozenset[str] | None = None
    for pin in pins:
        endpoints = frozenset(pin.endpoints)
        if pin.strict:
            required = endpoints if required is None else required & endpoints
        else:
            preferred = endpoints if preferred is None else preferred & endpoints
    if required is None and preferred is None:
        return None
    return StickyRoute(required, preferred)


def apply_sticky_route(event: RequestArrived, route: StickyRoute, balancer_actor: BalancerActor) -> None:
    """Restrict the endpoints allowed for a request.

    A strict pin applies to every attempt. A preferred pin applies to the first attempt, if any of its
    endpoints has capacity.
    """
    is_strict = route.required is not None
    if route.preferred is not None:
        preferred = route.preferred if route.required is None else route.preferred & route.required
        if any(snapshot.available_capacity > 0 for snapshot in balancer_actor.snapshot_endpoints(preferred)):
            event.allowed = preferred
            event.strict = is_strict
            return
    if is_strict:
        event.allowed = route.required
        event.strict = True
