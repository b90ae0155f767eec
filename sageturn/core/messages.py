"""What actors put into each other's mailboxes."""

from __future__ import annotations

from dataclasses import dataclass, field

from sageturn.decision import DiscoveryFailure, Endpoint


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """What a client asked for, in words that every front can say."""

    class_name: str
    tenant: str
    timeout_ms: float  # how long the client waits, from the arrival of its request
    group: str = ""
    expected_load: float = 0.0
    established_endpoint: str = ""  # the endpoint that held this connection before the relay started
    client: str = ""  # its key, the same after a reconnect
    returned: bool = False  # it says that its connection was moved, or broke
    retried: bool = False  # it says that it asks again
    client_request_id: str = (
        ""  # as the client named its request, so that it can be followed from relay to relay
    )


@dataclass(frozen=True, slots=True)
class FinalResponse:
    """The final answer to a request that was not served: a fail-fast refusal, or a failure."""

    rejected: bool
    retry_after_ms: float = 0.0
    reason: str = ""


# ------------------------------------------------------------ to a request


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Begin the next outbound call."""

    endpoint: str
    timeout_ms: float


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop waiting for the outbound call that is out."""


@dataclass(frozen=True, slots=True)
class RedirectClient:
    """End the standing connection politely."""


Instruction = StartAttempt | CancelAttempt | RedirectClient | FinalResponse


# ------------------------------------------------------------ to the destination set


@dataclass(frozen=True, slots=True)
class EndpointListUpdate:
    """One object of discovery: changes since the last, or the whole list."""

    version: int
    full: bool
    endpoints: list[Endpoint] = field(default_factory=list)
    addresses: dict[str, tuple[str, int]] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class WatchFailed:
    """A watch could not be established, or broke; ``reason`` is for the log."""

    reason: str
    failure: DiscoveryFailure


@dataclass(frozen=True, slots=True)
class WatchEvent:
    """What a watch reports. One that has been replaced may still have events in the mailbox."""

    watch_number: int
    event: EndpointListUpdate | WatchFailed


@dataclass(frozen=True, slots=True)
class WatchRequested:
    """The module asks for changes from here on."""


@dataclass(frozen=True, slots=True)
class DiscoveryAddressChanged:
    """Discovery is somewhere else now: watch there, from a whole list on."""


RegistryMessage = WatchEvent | WatchRequested | DiscoveryAddressChanged
