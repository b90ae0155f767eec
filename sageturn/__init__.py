"""A relay for long-lived connections. This package exports the decision module's types and its balancer."""

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
    """Return an exported name; the decision module is imported when the first one is used.

    Every import of a module of this package runs this file. ``__main__`` has to block signals before it loads
    the decision module.
    """
    if name not in __all__:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    from sageturn import decision
    from sageturn.decision import balancer

    return balancer.Balancer if name == "Balancer" else getattr(decision, name)
