"""Indexes which overrides select which listed endpoints."""

from __future__ import annotations

from collections.abc import Iterable

from sageturn.decision import Endpoint
from sageturn.overrides.model import Override
from sageturn.overrides.operations import Selector, selectors_matching

_NO_OVERRIDES: dict[str, Override] = {}


class SelectionIndex:
    """Index that finds an override's endpoints, and an endpoint's overrides, without a scan."""

    def __init__(self) -> None:
        self.endpoints: dict[str, Endpoint] = {}  # listed endpoints by name, as discovery reports them
        self._selectors_by_endpoint: dict[str, tuple[Selector, ...]] = {}
        self._endpoints_by_selector: dict[Selector, dict[str, Endpoint]] = {}
        self._overrides_by_selector: dict[Selector, dict[str, Override]] = {}

    # ------------------------------------------------------------ endpoints

    def add_endpoint(self, endpoint: Endpoint) -> None:
        """Add an endpoint that is not in the index."""
        selectors = selectors_matching(endpoint)
        self.endpoints[endpoint.name] = endpoint
        self._selectors_by_endpoint[endpoint.name] = selectors
        for selector in selectors:
            self._endpoints_by_selector.setdefault(selector, {})[endpoint.name] = endpoint

    def remove_endpoint(self, name: str) -> Endpoint | None:
        """Remove an endpoint and return it; None if it is not in the index."""
        endpoint = self.endpoints.pop(name, None)
        if endpoint is not None:
            for selector in self._selectors_by_endpoint.pop(name):
                del self._endpoints_by_selector[selector][name]
        return endpoint

    def endpoints_named(self, names: Iterable[str]) -> list[Endpoint]:
        """Return those of the named endpoints that are listed."""
        return [self.endpoints[name] for name in names if name in self.endpoints]

    def endpoints_selected_by(self, override: Override) -> list[Endpoint]:
        """Return the listed endpoints that an override's selector matches; an empty list for a pin."""
        payload = override.payload
        if payload.selector is None:
            return []
        found = self._endpoints_by_selector.get(payload.selector, {}).values()
        return [endpoint for endpoint in found if payload.matches_process(endpoint)]

    def names_selected_by(self, override: Override) -> list[str]:
        """Return the names of the listed endpoints that an override's selector matches."""
        return [endpoint.name for endpoint in self.endpoints_selected_by(override)]

    # ------------------------------------------------------------ overrides

    @property
    def has_overrides(self) -> bool:
        """True if any override with a selector is in the index."""
        return bool(self._overrides_by_selector)

    def add_override(self, override: Override) -> None:
        """Add an override; a pin has no selector and is not indexed."""
        selector = override.payload.selector
        if selector is not None:
            self._overrides_by_selector.setdefault(selector, {})[override.id] = override

    def remove_override(self, override: Override) -> None:
        """Remove an override that was added."""
        selector = override.payload.selector
        if selector is None:
            return
        same_selector = self._overrides_by_selector[selector]
        del same_selector[override.id]
        if not same_selector:
            del self._overrides_by_selector[selector]

    def overrides_on(self, name: str) -> list[Override]:
        """Return all overrides whose selector matches a listed endpoint, including suspended ones."""
        endpoint = self.endpoints[name]
        return [
            override
            for selector in self._selectors_by_endpoint[name]
            for override in self._overrides_by_selector.get(selector, _NO_OVERRIDES).values()
            if override.payload.matches_process(endpoint)
        ]

    def reducing_overrides_on(self, name: str) -> list[Override]:
        """Return the overrides, in force or suspended, that reduce a listed endpoint's capacity."""
        return [override for override in self.overrides_on(name) if override.payload.reduces_capacity]
