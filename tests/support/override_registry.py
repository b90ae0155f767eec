"""Driver of an override registry on a simulated clock."""

from __future__ import annotations

from typing import Any

from support.override_records import PUBLIC_KEYS, START_MS, make_signed_record

from sageturn import Endpoint
from sageturn.overrides.audit import AuditAction
from sageturn.overrides.operation_log import OverrideRecord
from sageturn.overrides.operations import OverrideOperation
from sageturn.overrides.options import OverrideOptions, SafetyLimits
from sageturn.overrides.registry import OverrideRegistry
from sageturn.overrides.resolver import OverrideResolver
from sageturn.overrides.sticky_routing import StickyRoute

INITIAL_CAPACITY_RATIO = 0.12
SLOW_START_MS = 24000.0
NO_LIMITS = SafetyLimits(0.0, 0.0, 0.0)


def make_options(**fields: Any) -> OverrideOptions:
    return OverrideOptions(**{"operators": PUBLIC_KEYS, "safety_limits": NO_LIMITS, **fields})


def make_registry(**options: Any) -> OverrideRegistry:
    return OverrideRegistry(make_options(**options), INITIAL_CAPACITY_RATIO, SLOW_START_MS)


def make_endpoint(name: str, **fields: Any) -> Endpoint:
    """Return an endpoint of kind ``k``, in zone z1 if it is named ``a`` or ``b``, otherwise in zone z2."""
    return Endpoint(name, **{"zone": "z1" if name < "c" else "z2", "kind": "k", **fields})


class RegistryDriver:
    """Driver of a registry on a simulated clock; ``endpoints`` are those presented to the balancer."""

    def __init__(self, names: str = "abcd", **options: Any) -> None:
        self.registry = make_registry(**options)
        self.now_ms = START_MS
        self.endpoints: dict[str, Endpoint] = {}
        self.apply_list([make_endpoint(name) for name in names])

    @property
    def resolver(self) -> OverrideResolver:
        return self.registry.resolver

    @property
    def audit_actions(self) -> list[AuditAction]:
        return [event.action for event in self.registry.audit.events]

    @property
    def rejected_records(self) -> dict[str, str]:
        return self.registry.operation_log.rejected_records

    def record_endpoints(self, endpoints: list[Endpoint]) -> list[Endpoint]:
        self.endpoints.update({endpoint.name: endpoint for endpoint in endpoints})
        return endpoints

    def apply_list(self, endpoints: list[Endpoint], is_full: bool = True) -> None:
        self.record_endpoints(self.registry.apply_endpoint_list(endpoints, is_full, self.now_ms))

    def update_list(self, *endpoints: Endpoint) -> None:
        self.apply_list(list(endpoints), is_full=False)

    def apply(self, *operations: OverrideOperation) -> list[Endpoint]:
        return self.apply_records(*(make_signed_record(operation) for operation in operations))

    def apply_records(self, *records: OverrideRecord) -> list[Endpoint]:
        return self.record_endpoints(self.registry.apply_records(records, self.now_ms))

    def set_options(self, **options: Any) -> list[Endpoint]:
        return self.record_endpoints(self.registry.set_options(make_options(**options), self.now_ms))

    def advance_to(self, now_ms: float) -> list[Endpoint]:
        self.now_ms = now_ms
        return self.record_endpoints(self.registry.advance_time(now_ms))

    def state(self, name: str) -> str:
        return self.endpoints[name].state

    def draining_endpoints(self) -> list[str]:
        return sorted(name for name, endpoint in self.endpoints.items() if endpoint.state == "draining")

    def status(self, override_id: str) -> str:
        return self.registry.status(self.registry.overrides[override_id], self.now_ms)

    def sticky_route(self, class_name: str, tenant: str, group: str = "") -> StickyRoute:
        """Return the route to which pins bind a request; fail if no pin selects it."""
        route = self.resolver.sticky_route(class_name, tenant, group)
        assert route is not None
        return route
