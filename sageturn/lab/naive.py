"""What a user would write in an afternoon: the fullest host sends all that it has too much at once.

It stands beside the planner in measurements, and nowhere else.
"""

from __future__ import annotations

from collections.abc import Sequence

from sageturn.core.endpoint_snapshot import EndpointSnapshot
from sageturn.rebalance.driver import Rebalancer
from sageturn.rebalance.planner import Migration, MigrationPlan, RebalancePlanner

EVERY_MS = 10000.0  # a new look so often


def naive_plan(planner: RebalancePlanner, now_ms: float, hosts: Sequence[EndpointSnapshot]) -> MigrationPlan:
    """The newest connections of the host with the highest load, down to the mean of all hosts."""
    ready = [host for host in hosts if host.ready]
    book, mean = planner.book, planner.book.mean
    loads = {h.name: book.hosts[h.name].load(mean, 0.0) if h.name in book.hosts else 0.0 for h in ready}
    size = sum(h.size for h in ready)
    moves: list[Migration] = []
    if loads and size > 0:
        fullest = max(ready, key=lambda h: (loads[h.name] / h.size, h.name))
        excess = loads[fullest.name] - sum(loads.values()) * fullest.size / size
        held = book.hosts.get(fullest.name)
        for part in held.parts.values() if held else ():
            for request_id, *_ in book.members(part):
                load = book.load_of(request_id)
                if excess < load:
                    return MigrationPlan(tuple(moves), "balancing", "")
                excess -= load
                moves.append(Migration(request_id, f"{fullest.name} is the fullest"))
    return MigrationPlan(tuple(moves), "balancing", "")


class NaivePlanner(RebalancePlanner):
    _looked_ms = 0.0

    def tick(
        self, now_ms: float, hosts: Sequence[EndpointSnapshot], minute: int, stopping: bool = False
    ) -> MigrationPlan:
        if now_ms < self._looked_ms + EVERY_MS:
            return MigrationPlan((), "waiting", "")
        self._looked_ms = now_ms
        return naive_plan(self, now_ms, hosts)

    def before_event(self, now_ms: float, event: object) -> None:
        """It tells the module nothing."""


class NaiveRebalancer(NaivePlanner, Rebalancer):
    """The same in a relay."""
