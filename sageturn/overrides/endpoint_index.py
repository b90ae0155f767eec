"""The listed endpoints, indexed by the selectors that match them."""

from __future__ import annotations

from collections.abc import Iterable

from sageturn.decision import Endpoint
from sageturn.overrides.model import Override
from sageturn.overrides.operations import Selector, selectors_matching


class EndpointIndex:
    """Finds the endpoints of a selector, and the selectors of an endpoint, without a scan of the fleet."""

    def __init__(self) -> None:
        self.endpoints: dict[str, Endpoint] = {}
        self._selectors_by_name: dict[str, tuple[Selector, ...]] = {}
        self._endpoints_by_selector: dict[Selector, dict[str, Endpoint]] = {}

    def add(self, endpoint: Endpoint) -> None:
        """Add an endpoint that is not in the index."""
        selectors = selectors_matching(endpoint)
        self.endpoints[endpoint.name] = endpoint
        self._selectors_by_name[endpoint.name] = selectors
        for selector in selectors:
            self._endpoints_by_selector.setdefault(selector, {})[endpoint.name] = endpoint

    def remove(self, name: str) -> Endpoint | None:
        """Remove an endpoint and return it; None if it is not in the index."""
        endpoint = self.endpoints.pop(name, None)
        if endpoint is not None:
            for selector in self._selectors_by_name.pop(name):
                del self._endpoints_by_selector[selector][name]
        return endpoint

    def selectors_of(self, name: str) -> tuple[Selector, ...]:
        """All selectors that match an endpoint of the index."""
        return self._selectors_by_name[name]

    def named(self, names: Iterable[str]) -> list[Endpoint]:
        """Those of the named endpoints that are in the index."""
        return [self.endpoints[name] for name in names if name in self.endpoints]

    def selected_by(self, override: Override) -> list[Endpoint]:
        """The endpoints that an override's selector matches; none for a pin."""
        payload = override.payload
        if payload.selector is None:
            return []
        found = self._endpoints_by_selector.get(payload.selector, {}).values()
        return [endpoint for endpoint in found if payload.matches_process(endpoint)]
