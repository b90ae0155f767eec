"""The clients' requests and connections at a simulated relay."""

from __future__ import annotations

from collections.abc import Mapping, Set
from dataclasses import dataclass

from sageturn.decision import AttemptStatus
from sageturn.lab.model.sampling import Client


@dataclass(slots=True)
class PendingRequest:
    """A request that waits for a connection; ``attempt`` is the number of the next attempt."""

    client: Client
    attempt: int = 0


@dataclass(slots=True)
class EstablishedConnection:
    """A connection, and the balancer's number of the attempt that established it."""

    client: Client
    host: str
    since_s: float
    attempt: int


@dataclass(frozen=True, slots=True)
class AttemptSample:
    """The end of an attempt and the time until then; ``failure`` is None for success."""

    failure: AttemptStatus | None
    duration_ms: float


@dataclass(frozen=True, slots=True)
class AttemptOutcome:
    """The end of an attempt at a host."""

    request_id: int
    attempt: int
    host: str
    sample: AttemptSample


@dataclass(frozen=True, slots=True)
class GroupMigrations:
    """Numbers of groups that migrate from a host, and of those that leave some connections there."""

    migrated: int
    split: int


def count_group_migrations(
    connections: Mapping[int, EstablishedConnection], migrating: Set[int]
) -> GroupMigrations:
    """Counts the groups of the connections that are about to migrate, by request id.

    They are counted from the connections themselves, and not from what the planner knows of groups.
    """
    groups = set()
    for request_id in migrating:
        connection = connections[request_id]
        if connection.client.group:
            groups.add((connection.host, connection.client.group))
    split = set()
    for request_id, connection in connections.items():
        group = (connection.host, connection.client.group)
        if request_id not in migrating and group in groups:
            split.add(group)
    return GroupMigrations(len(groups), len(split))
