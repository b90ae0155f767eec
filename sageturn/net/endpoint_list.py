"""Decodes the objects that discovery sends: full endpoint lists, and changes to the previous version."""

from __future__ import annotations

import math

from sageturn.core.messages import EndpointListUpdate
from sageturn.decision import Endpoint, EndpointStatus
from sageturn.net.addresses import Address, is_ipv4, parse_address
from sageturn.net.errors import InvalidEndpointListError
from sageturn.net.json_stream import JsonObject

ENDPOINT_STATES = tuple(EndpointStatus)


def parse_endpoint_list(decoded: JsonObject) -> EndpointListUpdate:
    """Decode an endpoint list. If several entries have the same id, the last one is used.

    The whole list is validated before any of it is applied: a partially applied list, or a value of the wrong
    type that makes a later calculation fail, would be worse than a failed call.

    Raises:
        InvalidEndpointListError: a key is missing or has an invalid value, or ``decoded`` is not an object.
        InvalidAddressError: the address of an entry is not ``HOST:PORT``.
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


def _parse_entry(entry: JsonObject) -> Endpoint:
    state = entry["state"]
    if not _read_text(entry, "id"):
        raise InvalidEndpointListError(f"id: {entry['id']!r}")
    if state not in ENDPOINT_STATES:
        raise InvalidEndpointListError(f"state: {state!r}")
    return Endpoint(
        name=entry["id"],
        state=state,
        zone=_read_text(entry, "zone"),
        cell=int(_read_non_negative(entry, "cell", 0)),
        started_at_ms=_read_non_negative(entry, "started_ms", 0.0),
        weight=_read_non_negative(entry, "weight", 1.0),
        kind=_read_text(entry, "kind"),
    )


def _parse_entry_address(entry: JsonObject) -> Address | None:
    """Return the entry's address, or None if it has none.

    Host names are rejected, since resolving them would delay attempts.
    """
    text = _read_text(entry, "addr")
    if not text:
        return None
    host, port = parse_address(text)
    if not is_ipv4(host) or not port:
        raise InvalidEndpointListError(f"addr: {text!r}")
    return host, port


def _read_text(entry: JsonObject, key: str) -> str:
    """Return the string at ``key``, or an empty one if the key is absent."""
    value = entry.get(key)
    if value is not None and not isinstance(value, str):
        raise InvalidEndpointListError(f"{key}: {value!r}")
    return value or ""


def _read_non_negative(entry: JsonObject, key: str, default: float) -> float:
    """Return the number at ``key``, or ``default`` if it is absent or 0."""
    value = entry.get(key)
    if value is None:
        return default
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 <= value < math.inf:
        raise InvalidEndpointListError(f"{key}: {value!r}")
    return value or default
