"""What every connection of every front needs of the core."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from sageturn.core.balancer_actor import BalancerActor
from sageturn.core.endpoint_registry import EndpointRegistry
from sageturn.core.request_lifecycle import ConnectionRecord, RequestLifecycle
from sageturn.core.shutdown import RequestRegistry


@dataclass(slots=True)
class RelayContext:
    balancer_actor: BalancerActor
    endpoint_registry: EndpointRegistry
    request_registry: RequestRegistry
    ended: Callable[[ConnectionRecord], None]
    dropped: Counter[str] = field(default_factory=Counter)  # values of load reports that could not be used

    async def run(self, lifecycle: RequestLifecycle) -> None:
        self.request_registry.add(lifecycle)
        try:
            self.ended(await lifecycle.run())
        finally:
            self.request_registry.remove(lifecycle)
