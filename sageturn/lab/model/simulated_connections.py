"""Requests and connections of the clients of a simulated relay."""

from __future__ import annotations

from collections.abc import Mapping, Set
from dataclasses import dataclass

from sageturn.decision import AttemptStatus
from sageturn.lab.model.sampling import Client


@dataclass(slots=True)
class PendingRequest:
    """Request that waits for a connection; ``attempt`` is the number of the next attempt."""

    client: Client
    attempt: int = 0


@dataclass(slots=True)
class EstablishedConnection:
    """Established connection; ``attempt`` is the number of the attempt that established it."""

    client: Client
    endpoint: str
    since_s: float
    attempt: int


@dataclass(frozen=True, slots=True)
class AttemptSample:
    """Sampled result of an attempt and its duration; ``failure`` is None for a success."""

    failure: AttemptStatus | None
    duration_ms: float


@dataclass(frozen=True, slots=True)
class AttemptOutcome:
    """Attempt at an endpoint and its sampled result."""

    request_id: int
    attempt: int
    endpoint: str
    sample: AttemptSample


@dataclass(frozen=True, slots=True)
class GroupMigrations:
    """Numbers of groups that migrate from an endpoint, and of those that migrate only in part."""

    migrated: int
    split: int


def count_group_migrations(
    connections: Mapping[int, EstablishedConnection], migrating: Set[int]
) -> GroupMigrations:
    """Count the groups of the connections whose request ids are in ``migrating``.

    The groups are those of the connections themselves, independently of the planner's own table.
    """
    groups = set()
    for request_id in migrating:
        connection = connections[request_id]
        if connection.client.group:
            groups.add((connection.endpoint, connection.client.group))
    split = set()
    for request_id, connection in connections.items():
        group = (connection.endpoint, connection.client.group)
        if request_id not in migrating and group in groups:
            split.add(group)
    return GroupMigrations(len(groups), len(split))
