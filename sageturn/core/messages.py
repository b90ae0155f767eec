"""The messages that actors and requests send each other."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from sageturn.decision import ConnectionAdopted, DiscoveryFailure, Endpoint, RequestArrived


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """A client's request, in terms that every frontend can express."""

    class_name: str
    tenant: str
    timeout_ms: float  # how long the client waits, from the arrival of its request
    group: str = ""
    expected_load: float = 0.0  # milliseconds of work a second; 0 if unknown
    established_endpoint: str = ""  # the endpoint of this connection before the relay was restarted
    client: str = ""  # the client's key, the same after a reconnect
    returned: bool = False  # the client says that its connection was migrated, or broke
    retried: bool = False  # the client says that this is a retry
    client_request_id: str = ""  # by which the request can be followed from relay to relay


def make_request_arrived(request_id: int, deadline_ms: float, request: ClientRequest) -> RequestArrived:
    """Return the balancer's event for a request that has just come.

    ``deadline_ms`` is when its client gives up, in the relay's time.
    """
    return RequestArrived(
        request_id,
        request.class_name,
        request.tenant,
        deadline_ms,
        request.group,
        request.expected_load,
        client=request.client,
        returned=request.returned,
        retried=request.retried,
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
    """The reasons that a client is sent with its final response; frontends put them on their wires."""

    UNAVAILABLE = "unavailable"  # no endpoint could serve it
    LOST = "lost"  # the connection that it had before the relay's start could not be adopted
    SHUTDOWN = "shutdown"  # the relay stops
    CLIENT_FAULT = "wait for the answer"  # the client sent too much before it was answered
    INTERNAL = "internal"  # a fault of the relay


class ResponseCause(StrEnum):
    """The causes of final responses that neither a ``RejectCause`` nor a ``CloseReason`` explains."""

    SHUTDOWN = "shutdown"
    CLIENT_FAULT = "client_fault"
    INTERNAL = "internal"


@dataclass(frozen=True, slots=True)
class FinalResponse:
    """The one final answer to a request that is not served: a fail-fast rejection, or a failure."""

    rejected: bool
    retry_after_ms: float = 0.0  # 0 gives no advice on when to retry
    reason: str = ""  # a ``ResponseReason`` for the client; empty for a rejection by the balancer
    cause: str = ""  # for logs and counters: a ``ResponseCause``, ``RejectCause`` or ``CloseReason``


# ------------------------------------------------------------ instructions to a request


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Begin the next attempt, at this endpoint; a timeout of 0 stands for the client's own."""

    endpoint: str
    timeout_ms: float


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Abandon the attempt in flight."""


@dataclass(frozen=True, slots=True)
class RedirectClient:
    """Migrate the established connection: have its client reconnect elsewhere."""


Instruction = StartAttempt | CancelAttempt | RedirectClient | FinalResponse


# ------------------------------------------------------------ to the endpoint registry


@dataclass(frozen=True, slots=True)
class EndpointListUpdate:
    """An object that discovery sent: the changes since the last, or with ``full`` the complete list."""

    version: int
    full: bool
    endpoints: list[Endpoint] = field(default_factory=list)
    addresses: dict[str, tuple[str, int]] = field(default_factory=dict)
    # How long before this object its watch had last confirmed the list before it; None if it had not.
    confirmed_age_ms: float | None = None


@dataclass(frozen=True, slots=True)
class WatchFailed:
    """A watch could not be established, or broke; ``reason`` is for the log."""

    reason: str
    failure: DiscoveryFailure


@dataclass(frozen=True, slots=True)
class WatchEvent:
    """An event that a watch reports; a watch that was replaced may still have some in the mailbox."""

    watch_number: int
    event: EndpointListUpdate | WatchFailed


@dataclass(frozen=True, slots=True)
class WatchRequested:
    """The balancer asks for a watch, from the version that is known on."""


@dataclass(frozen=True, slots=True)
class DiscoveryAddressChanged:
    """Discovery has another address: the watch has to begin there, from a complete list on."""


RegistryMessage = WatchEvent | WatchRequested | DiscoveryAddressChanged
