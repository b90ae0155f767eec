"""Messages between the simulated relays and their environment in each step.

At the start of a step the relays receive the conditions at the endpoints, clients that reconnect, and
instructions; at its end each returns a ``StepResult``. All of these are sent between processes.
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
    """State of an endpoint at the start of a step; attempts at an unresponsive one time out."""

    running: bool
    setup_ms: float
    full: bool
    unresponsive: bool = False


@dataclass(frozen=True, slots=True)
class SetArrivalRate:
    """Instruction to multiply the arrival rate, and that of the largest tenant by a further factor."""

    factor: float
    largest_tenant_factor: float


@dataclass(frozen=True, slots=True)
class UpdateEndpointList:
    """Update by discovery with changed entries."""

    endpoints: Sequence[decision.Endpoint]


@dataclass(frozen=True, slots=True)
class FailDiscovery:
    """Failure of the discovery watch."""


@dataclass(frozen=True, slots=True)
class RestoreDiscovery:
    """Recovery of the discovery watch, which starts with a full list."""


@dataclass(frozen=True, slots=True)
class ResetConnections:
    """Instruction to reset all connections of the named endpoints."""

    endpoint_names: Sequence[str]


@dataclass(frozen=True, slots=True)
class DrainConnections:
    """Instruction to close the connections of the named endpoints over a period."""

    endpoint_names: Sequence[str]
    duration_s: float


@dataclass(frozen=True, slots=True)
class DropClients:
    """Instruction to disconnect a fraction of the clients over a period; they reconnect."""

    ratio: float
    duration_s: float


@dataclass(frozen=True, slots=True)
class KillRelays:
    """Instruction to kill the relays with these numbers."""

    relays: Sequence[int]


@dataclass(frozen=True, slots=True)
class RestartRelays:
    """Instruction to restart all killed relays with this endpoint list."""

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
Reconnects = dict[int, list[tuple[float, Client]]]  # time and client of each reconnect, by relay


@dataclass(frozen=True, slots=True)
class StepInput:
    """Input of a step, which ends at ``until_s``, for the relays of one process."""

    until_s: float
    conditions: dict[str, EndpointConditions]
    reconnects: Reconnects
    instructions: list[Instruction]


@dataclass(slots=True)
class StepResult:
    """Events of one relay in one step.

    ``intake`` has the number and the total load of the connection requests, by endpoint. An entry of
    ``requested_changes`` has a class index, a tenant, and 1 for a client that arrived or -1 for one that
    finished. ``reconnects`` has the time and the client of each reconnect, through any relay. ``setups`` has
    a class index and the milliseconds since the client first requested the connection.
    """

    intake: dict[str, tuple[int, float]] = field(default_factory=dict)
    connected: list[tuple[str, Client]] = field(default_factory=list)
    disconnected: list[tuple[str, Client]] = field(default_factory=list)
    requested_changes: list[tuple[int, str, int]] = field(default_factory=list)
    reconnects: list[tuple[float, Client]] = field(default_factory=list)
    setups: list[tuple[int, float]] = field(default_factory=list)
    counts: Counter[ClientEvent] = field(default_factory=Counter)
