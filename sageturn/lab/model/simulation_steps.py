"""Messages between the simulated relays and their environment in each step.

At the start of a step the relays get the conditions at the hosts, clients that connect again, and
instructions; at its end each returns a ``StepResult``. All of these pass between processes.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field

from sageturn import decision
from sageturn.lab.model.client_event import ClientEvent
from sageturn.lab.model.sampling import Client


@dataclass(slots=True)
class EndpointConditions:
    """The state of a host at the start of a step; a silent one accepts connections and never answers."""

    running: bool
    setup_ms: float
    full: bool
    silent: bool = False


@dataclass(frozen=True, slots=True)
class SetArrivalRate:
    """New clients arrive at ``factor`` times the usual rate, those of the largest tenant at another again."""

    factor: float
    largest_tenant_factor: float


@dataclass(frozen=True, slots=True)
class UpdateEndpointList:
    """Discovery reports changed entries."""

    endpoints: Sequence[decision.Endpoint]


@dataclass(frozen=True, slots=True)
class FailDiscovery:
    """The discovery watch fails."""


@dataclass(frozen=True, slots=True)
class RestoreDiscovery:
    """The discovery watch works again, and begins with a full list."""


@dataclass(frozen=True, slots=True)
class ResetConnections:
    """All connections of the named hosts are reset."""

    hosts: Sequence[str]


@dataclass(frozen=True, slots=True)
class DrainConnections:
    """The named hosts close their connections, spread over a time."""

    hosts: Sequence[str]
    duration_s: float


@dataclass(frozen=True, slots=True)
class DropClients:
    """A ratio of the connected clients disconnect, spread over a time, and connect again."""

    ratio: float
    duration_s: float


@dataclass(frozen=True, slots=True)
class KillRelays:
    """The relays with these numbers are killed."""

    relays: Sequence[int]


@dataclass(frozen=True, slots=True)
class RestartRelays:
    """All killed relays start again, with this endpoint list."""

    endpoints: Sequence[decision.Endpoint]


Instruction = (
    SetArrivalRate
    | UpdateEndpointList
    | FailDiscovery
    | RestoreDiscovery
    | ResetConnections
    | DrainConnections
    | DropClients
    | KillRelays
    | RestartRelays
)
Reconnects = dict[int, list[tuple[float, Client]]]  # by relay: when each client connects again


@dataclass(frozen=True, slots=True)
class StepInput:
    """Input of the relays of one process for a step that ends at ``until_s``."""

    until_s: float
    conditions: dict[str, EndpointConditions]
    reconnects: Reconnects
    instructions: list[Instruction]


@dataclass(slots=True)
class StepResult:
    """Events of one relay in one step.

    ``intake`` is the number and the total load of the requests for connections, by host. ``wanted_changes``
    has a class index, a tenant, and 1 for a client that arrived or -1 for one that has finished.
    ``reconnects`` has the clients that connect again at some relay, and when. ``setups`` has a class index
    and the milliseconds since the client first asked.
    """

    intake: dict[str, tuple[int, float]] = field(default_factory=dict)
    connected: list[tuple[str, Client]] = field(default_factory=list)
    disconnected: list[tuple[str, Client]] = field(default_factory=list)
    wanted_changes: list[tuple[int, str, int]] = field(default_factory=list)
    reconnects: list[tuple[float, Client]] = field(default_factory=list)
    setups: list[tuple[int, float]] = field(default_factory=list)
    counts: Counter[ClientEvent] = field(default_factory=Counter)
