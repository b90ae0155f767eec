"""The hosts as the decision module believes them to be, for those who plan around its decisions."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from sageturn.decision.balancer import Balancer


@dataclass(frozen=True, slots=True)
class EndpointSnapshot:
    """A host as the decision module sees it now. ``size`` has its kind and its warm-up in it."""

    name: str
    size: float
    ready: bool  # listed ready, and not put out
    available_capacity: int  # set-ups it may be sent before it has answered any: 0 when it is full or closed
    zone: str = ""
    draining: bool = False
    ejected: bool = False  # listed ready, but put out for failing
    started_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class OperatorMarks:
    """Hosts that operators have marked: not rebalanced, out of service, and to be cleared of connections."""

    rebalance_excluded: frozenset[str] = frozenset()
    out_of_service: frozenset[str] = frozenset()
    evacuating: frozenset[str] = frozenset()


def snapshot_endpoints(
    balancer: Balancer, now_ms: float, names: Iterable[str] | None = None
) -> list[EndpointSnapshot]:
    """Every host that is not gone, or those named, in the order in which the module came to know them."""
    views = []
    warm_ms = balancer.settings.slow_start_ms
    known = balancer.endpoints
    for s in known.values() if names is None else [known[n] for n in sorted(names) if n in known]:
        if s.state == "gone":
            continue
        shut = s.closed or now_ms < s.spent_until_ms or not s.ready or s.beyond()
        room = 0 if shut else max(0, s.limit - s.pending)
        if s.cold and now_ms < s.started_ms + warm_ms:
            room = min(room, balancer._cold_ok(now_ms, s))  # its budget is spent one by one
        out = s.state == "ready" and not s.ready
        views.append(
            EndpointSnapshot(s.name, s.size, s.ready, room, s.zone, s.state == "draining", out, s.started_ms)
        )
    return views
