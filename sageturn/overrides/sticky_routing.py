"""Binds a request that pins select to their endpoints; the balancer chooses among these."""

from __future__ import annotations

from sageturn import decision
from sageturn.core.balancer_actor import BalancerActor
from sageturn.overrides.resolver import StickyRoute


def apply_sticky_routing(
    event: decision.RequestArrived, route: StickyRoute, balancer_actor: BalancerActor
) -> None:
    """Restrict the endpoints allowed to a request.

    A strict pin holds on every attempt; a preferred one on the first, if any of its endpoints has capacity.
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
