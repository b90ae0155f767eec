"""sageturn: the decisions of a balancer for long-lived connections."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sageturn.decision import (
        AbandonAttempt,
        Action,
        AttemptEnded,
        CheckHealth,
        ClientDisconnected,
        ConnectionAdopted,
        ConnectionEstablished,
        DiscoveryFailure,
        Endpoint,
        EndpointListEvent,
        Event,
        FailRequest,
        HealthCheckCompleted,
        MeasurementReported,
        MigrateConnection,
        PlaceRequest,
        RejectRequest,
        RequestArrived,
        RequestClass,
        SetTimer,
        Settings,
        Tenant,
        TimerFired,
        WatchEndpoints,
    )
    from sageturn.decision.balancer import Balancer
__all__ = [
    "AbandonAttempt",
    "Action",
    "AttemptEnded",
    "Balancer",
    "CheckHealth",
    "ClientDisconnected",
    "ConnectionAdopted",
    "ConnectionEstablished",
    "DiscoveryFailure",
    "Endpoint",
    "EndpointListEvent",
    "Event",
    "FailRequest",
    "HealthCheckCompleted",
    "MeasurementReported",
    "MigrateConnection",
    "PlaceRequest",
    "RejectRequest",
    "RequestArrived",
    "RequestClass",
    "SetTimer",
    "Settings",
    "Tenant",
    "TimerFired",
    "WatchEndpoints",
]


def __getattr__(name: str) -> object:
    """The exports, loaded when the first of them is used.

    The program must get from its start to its signal handling without loading all that it decides with.
    """
    if name not in __all__:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    from sageturn import decision
    from sageturn.decision import balancer

    return balancer.Balancer if name == "Balancer" else getattr(decision, name)
