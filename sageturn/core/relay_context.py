"""The objects of the core that client connections of all frontends use."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from sageturn.core.balancer_actor import BalancerActor
from sageturn.core.connection_record import ConnectionRecord
from sageturn.core.endpoint_registry import EndpointRegistry
from sageturn.core.request_lifecycle import RequestLifecycle
from sageturn.core.request_registry import RequestRegistry


@dataclass(slots=True)
class RelayContext:
    """Objects that all frontends and connections of one relay share."""

    balancer_actor: BalancerActor
    endpoint_registry: EndpointRegistry
    request_registry: RequestRegistry
    on_connection_closed: Callable[[ConnectionRecord], None]
    # Number of unusable values in load reports, by the report's field.
    invalid_report_values: Counter[str] = field(default_factory=Counter)

    async def run_request(self, lifecycle: RequestLifecycle) -> None:
        """Run a request to its end, registered for a graceful shutdown, and report its record."""
        self.request_registry.add(lifecycle)
        try:
            self.on_connection_closed(await lifecycle.run())
        finally:
            self.request_registry.remove(lifecycle)
