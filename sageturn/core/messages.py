"""The messages that actors and requests exchange."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from sageturn.decision import ConnectionAdopted, DiscoveryFailure, Endpoint, RequestArrived


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """A client's request in a form that is independent of the frontend."""

    class_name: str
    tenant: str
    timeout_ms: float  # time that the client waits, counted from the arrival of its request
    group: str = ""
    expected_load: float = 0.0  # milliseconds of work per second; 0 if unknown
    established_endpoint: str = ""  # endpoint of this connection before the relay was restarted; empty if new
    client: str = ""  # key of the client, which stays the same when it reconnects
    is_reconnect: bool = False  # the client reports that its previous connection was migrated or broke
    is_retry: bool = False  # the client reports that this is a retry
    client_request_id: str = ""  # id by which the request can be traced across relays


def make_request_arrived(request_id: int, deadline_ms: float, request: ClientRequest) -> RequestArrived:
    """Return the balancer's event for a request that has just arrived.

    ``deadline_ms`` is the request's deadline in the relay's time.
    """
    return RequestArrived(
        request_id,
        request.class_name,
        request.tenant,
        deadline_ms,
        request.group,
        request.expected_load,
        client=request.client,
        is_reconnect=request.is_reconnect,
        is_retry=request.is_retry,
    )


def make_connection_adopted(request_id: int, request: ClientRequest) -> ConnectionAdopted:
    """Return the balancer's event for a connection that was established before this relay started."""
    return ConnectionAdopted(
        request_id,
        request.class_name,
        request.tenant,
        request.established_endpoint,
        request.group,
        request.expected_load,
        request.client,
    )


class ResponseReason(StrEnum):
    """Reasons given to a client in its final response; the values are sent on the wire."""

    UNAVAILABLE = "unavailable"  # no endpoint could serve it
    LOST = "lost"  # the connection from before the relay's start could not be adopted
    SHUTDOWN = "shutdown"  # the relay is shutting down
    CLIENT_FAULT = "wait for the answer"  # the client sent too much before it was answered
    INTERNAL = "internal"  # the relay has an internal fault


class ResponseCause(StrEnum):
    """Causes of final responses for which there is no ``RejectCause`` or ``CloseReason``."""

    SHUTDOWN = "shutdown"
    CLIENT_FAULT = "client_fault"
    INTERNAL = "internal"


@dataclass(frozen=True, slots=True)
class FinalResponse:
    """The single answer to a request that is not served: a fail-fast rejection or a failure."""

    rejected: bool
    retry_after_ms: float = 0.0  # 0 if the client is not advised when to retry
    reason: str = ""  # a ``ResponseReason``, sent to the client; empty for a rejection by the balancer
    cause: str = ""  # a ``ResponseCause``, ``RejectCause`` or ``CloseReason``, used in logs and counters


# ------------------------------------------------------------ instructions to a request


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Begin the next attempt, on this endpoint; a timeout of 0 stands for the client's remaining time."""

    endpoint: str
    timeout_ms: float


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Abandon the attempt in flight."""


@dataclass(frozen=True, slots=True)
class RedirectClient:
    """Migrate the established connection: have its client reconnect elsewhere."""


Instruction = StartAttempt | CancelAttempt | RedirectClient | FinalResponse


# ------------------------------------------------------------ messages to the endpoint registry


@dataclass(frozen=True, slots=True)
class EndpointListUpdate:
    """An update from discovery: the complete list if ``full``, otherwise the changes since the last one."""

    version: int
    full: bool
    endpoints: list[Endpoint] = field(default_factory=list)
    addresses: dict[str, tuple[str, int]] = field(default_factory=dict)
    # Time between the watch's latest confirmation of the previous list and this update; None if it had not
    # confirmed one.
    confirmed_age_ms: float | None = None


@dataclass(frozen=True, slots=True)
class WatchFailed:
    """A watch could not be established, or broke; ``reason`` is logged."""

    reason: str
    failure: DiscoveryFailure


@dataclass(frozen=True, slots=True)
class WatchEvent:
    """An event that a watch reports. Events of a replaced watch may still be in the mailbox."""

    watch_number: int
    event: EndpointListUpdate | WatchFailed


@dataclass(frozen=True, slots=True)
class WatchRequested:
    """The balancer requests a watch that continues from the current version."""


@dataclass(frozen=True, slots=True)
class DiscoveryAddressChanged:
    """Discovery has a new address, where a watch has to be opened that begins with a complete list."""


RegistryMessage = WatchEvent | WatchRequested | DiscoveryAddressChanged
