"""The decoder of discovery's objects: endpoint lists, full or as changes to the previous version."""

from __future__ import annotations

import math
from typing import Any

from sageturn.core.messages import EndpointListUpdate
from sageturn.decision import Endpoint
from sageturn.net.addresses import Address, is_ipv4, parse_address
from sageturn.net.errors import InvalidEndpointListError

ENDPOINT_STATES = ("ready", "draining", "gone")


def parse_endpoint_list(decoded: Any) -> EndpointListUpdate:
    """Decode one object; raises InvalidEndpointListError, or InvalidAddressError for an entry's address.

    All of it is checked before any of it is used: half a list applied, or a figure that is not a number and
    fails whoever calculates with it, would be worse than a failed call. The last entry of an id counts.
    """
    try:
        version = decoded["version"]
        if isinstance(version, bool) or not isinstance(version, int):
            raise InvalidEndpointListError(f"version: {version!r}")
        full = decoded.get("full")
        if full not in (None, True, False):
            raise InvalidEndpointListError(f"full: {full!r}")
        endpoints: dict[str, Endpoint] = {}
        addresses: dict[str, Address] = {}
        for entry in decoded["servers"]:
            endpoint = _parse_entry(entry)
            endpoints[endpoint.name] = endpoint
            address = _parse_entry_address(entry)
            if address is not None:
                addresses[endpoint.name] = address
        return EndpointListUpdate(version, bool(full), list(endpoints.values()), addresses)
    except KeyError as error:
        raise InvalidEndpointListError(f"missing {error}") from error
    except (TypeError, AttributeError, OverflowError) as error:
        raise InvalidEndpointListError(str(error)) from error


def _parse_entry(entry: dict[str, Any]) -> Endpoint:
    state = entry["state"]
    if not _text(entry, "id"):
        raise InvalidEndpointListError(f"id: {entry['id']!r}")
    if state not in ENDPOINT_STATES:
        raise InvalidEndpointListError(f"state: {state!r}")
    return Endpoint(
        name=entry["id"],
        state=state,
        zone=_text(entry, "zone"),
        cell=int(_non_negative(entry, "cell", 0)),
        started_at_ms=_non_negative(entry, "started_ms", 0.0),
        share=_non_negative(entry, "weight", 1.0),
        kind=_text(entry, "kind"),
    )


def _parse_entry_address(entry: dict[str, Any]) -> Address | None:
    """None where the entry has no address. Names are refused: a look-up would delay or fail an attempt."""
    text = _text(entry, "addr")
    if not text:
        return None
    host, port = parse_address(text)
    if not is_ipv4(host) or not port:
        raise InvalidEndpointListError(f"addr: {text!r}")
    return host, port


def _text(entry: dict[str, Any], key: str) -> str:
    value = entry.get(key)
    if value is not None and not isinstance(value, str):
        raise InvalidEndpointListError(f"{key}: {value!r}")
    return value or ""


def _non_negative(entry: dict[str, Any], key: str, default: float) -> float:
    """The number at ``key``; the default also stands for 0."""
    value = entry.get(key)
    if value is None:
        return default
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 <= value < math.inf:
        raise InvalidEndpointListError(f"{key}: {value!r}")
    return value or default
