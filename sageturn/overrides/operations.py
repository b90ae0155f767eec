"""Operations that operators write; each is an immutable, signed record of the store.

An override results from all operations on it (set, extend, revoke). Each operation has its own key in the
store, so none overwrites another. Whatever their order of arrival, and on whichever side of a network
partition they were written, every relay ends with the same operations and therefore the same override.
"""

from __future__ import annotations

import secrets
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

from sageturn.decision import Endpoint

KEY_PREFIX = "overrides/"
ID_RANDOM_BYTES = 4
NONCE_BYTES = 4


class OverrideKind(StrEnum):
    """Kind of an override; the values appear in records and on the command line."""

    OUT_OF_SERVICE = "out"
    WEIGHT = "weight"
    PIN = "pin"
    HOLD = "hold"


class OperationType(StrEnum):
    """Type of an operation on an override; the values appear in records."""

    SET = "set"
    EXTEND = "extend"
    REVOKE = "revoke"


class SelectorAttribute(StrEnum):
    """Endpoint attribute that a selector compares; the values appear in records."""

    ENDPOINT = "host"
    ZONE = "zone"
    KIND = "kind"
    CELL = "cell"


class Selector(NamedTuple):
    """Selector of all endpoints whose attribute has this value, including those that are listed later.

    It is a named tuple, not a dataclass, for faster look-ups: it is the key of indexes that are read for
    each endpoint.
    """

    attribute: SelectorAttribute
    value: str

    def matches(self, endpoint: Endpoint) -> bool:
        """Return whether this selector matches the endpoint as currently listed."""
        return self in selectors_matching(endpoint)


def selectors_matching(endpoint: Endpoint) -> tuple[Selector, ...]:
    """Return the selectors that match an endpoint, one for each attribute."""
    return (
        Selector(SelectorAttribute.ENDPOINT, endpoint.name),
        Selector(SelectorAttribute.ZONE, endpoint.zone),
        Selector(SelectorAttribute.KIND, endpoint.kind),
        Selector(SelectorAttribute.CELL, str(endpoint.cell)),
    )


@dataclass(frozen=True, slots=True)
class OverridePayload:
    """Effect and targets of an override. Fields that do not apply to its kind keep their defaults."""

    kind: OverrideKind
    selector: Selector | None = None  # None only for a pin
    migrate_connections: bool = False  # out of service: also migrate established connections
    factor: float = 1.0  # weight: multiplier of the endpoint's weight
    endpoints: tuple[str, ...] = ()  # pin: endpoints that serve the selected requests
    strict: bool = False  # pin: no other endpoint serves them, even if all of these are unavailable
    class_name: str = ""  # pin: class of the requests; empty selects all classes
    tenant: str = ""  # pin: tenant of the requests; empty selects all tenants
    group_prefix: str = ""  # pin: prefix of the requests' groups; empty selects all groups
    process_started_at_ms: float = 0.0  # start time of the only process it applies to; 0: any process

    @property
    def target_factor(self) -> float:
        """Weight factor that the override sets on the endpoints that it selects; 0 if out of service."""
        return 0.0 if self.kind is OverrideKind.OUT_OF_SERVICE else self.factor

    @property
    def reduces_capacity(self) -> bool:
        """True if the override reduces the capacity of any traffic, so that the safety limits apply to it."""
        if self.kind is OverrideKind.OUT_OF_SERVICE:
            return True
        return (self.kind is OverrideKind.WEIGHT and self.factor < 1.0) or self.strict

    def matches_process(self, endpoint: Endpoint) -> bool:
        """Return whether the override applies to the process that currently has the endpoint's name."""
        return not self.process_started_at_ms or self.process_started_at_ms == endpoint.started_at_ms

    def matches_request(self, class_name: str, tenant: str, group: str) -> bool:
        """Return whether a pin selects a request of this class, tenant and group."""
        if self.class_name and self.class_name != class_name:
            return False
        if self.tenant and self.tenant != tenant:
            return False
        return group.startswith(self.group_prefix)


class OperationRank(NamedTuple):
    """Sort key of the operations on one override: revision, then time; the store key breaks ties."""

    revision: int
    created_at_ms: float
    key: str


@dataclass(frozen=True, slots=True)
class OverrideOperation:
    """Operation on an override. Times are milliseconds of Unix time."""

    override_id: str
    type: OperationType
    revision: int
    created_at_ms: float
    operator: str  # name of the operator whose key signs the record
    reason: str
    expires_at_ms: float = 0.0  # set and extend; 0 for a revocation, which has no expiry
    payload: OverridePayload | None = None  # set: effect and targets; None for other types
    forced: bool = False  # set: exempt from suspension by the safety limits
    nonce: str = ""

    @property
    def key(self) -> str:
        """Store key of the operation's record."""
        return f"{KEY_PREFIX}{self.override_id}/{self.revision:06d}-{self.operator}-{self.nonce}"

    @property
    def rank(self) -> OperationRank:
        """Sort key of the operation among those on its override."""
        return OperationRank(self.revision, self.created_at_ms, self.key)


def new_override_id(kind: str) -> str:
    """Return a random id such as ``out-5be2a07c`` for an override of this kind."""
    return f"{kind}-{secrets.token_hex(ID_RANDOM_BYTES)}"


def new_nonce() -> str:
    """Return a random nonce; it distinguishes operations of one operator with the same revision."""
    return secrets.token_hex(NONCE_BYTES)
