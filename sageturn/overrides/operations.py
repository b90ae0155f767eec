"""The operations that operators write: each is one immutable, signed record of the store.

An override is the sum of the operations on it (set, extend, revoke), each under a key of its own in the
store. Whatever order they arrive in, and on whichever side of a network partition they were written, every
relay ends with the same set of them and therefore with the same override: no operation overwrites another.
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
    """The kind of an override; the values are those of the records and of the command line."""

    OUT_OF_SERVICE = "out"
    WEIGHT = "weight"
    PIN = "pin"
    HOLD = "hold"


class OperationType(StrEnum):
    """The type of an operation on an override; the values are those of the records."""

    SET = "set"
    EXTEND = "extend"
    REVOKE = "revoke"


class SelectorAttribute(StrEnum):
    """The attribute of an endpoint that a selector compares; the values are those of the records."""

    ENDPOINT = "host"
    ZONE = "zone"
    KIND = "kind"
    CELL = "cell"


class Selector(NamedTuple):
    """Selects the endpoints whose attribute has this value, including those that join later.

    A named tuple and not a dataclass: it is the key of the indexes, which are looked up for each endpoint.
    """

    attribute: SelectorAttribute
    value: str

    def matches(self, endpoint: Endpoint) -> bool:
        """Whether this selector matches the endpoint as it is listed now."""
        return self in selectors_matching(endpoint)


def selectors_matching(endpoint: Endpoint) -> tuple[Selector, ...]:
    """Returns the selectors that match an endpoint, one for each attribute."""
    return (
        Selector(SelectorAttribute.ENDPOINT, endpoint.name),
        Selector(SelectorAttribute.ZONE, endpoint.zone),
        Selector(SelectorAttribute.KIND, endpoint.kind),
        Selector(SelectorAttribute.CELL, str(endpoint.cell)),
    )


@dataclass(frozen=True, slots=True)
class OverridePayload:
    """The effect and the targets of an override. Fields that its kind does not have keep their defaults."""

    kind: OverrideKind
    selector: Selector | None = None  # all kinds but a pin
    migrate_connections: bool = False  # out of service: move established connections off, too
    factor: float = 1.0  # weight
    endpoints: tuple[str, ...] = ()  # pin: where its traffic goes
    strict: bool = False  # pin: nowhere else, even if none of its endpoints can take it
    class_name: str = ""  # pin: class of the traffic; empty: all classes
    tenant: str = ""  # pin: tenant of the traffic; empty: all tenants
    group_prefix: str = ""  # pin: groups that begin so; empty: all groups
    process_started_at_ms: float = 0.0  # only the process that started then; 0: whichever has the name

    @property
    def target_factor(self) -> float:
        """The weight factor that the override leaves to the endpoints it selects."""
        return 0.0 if self.kind is OverrideKind.OUT_OF_SERVICE else self.factor

    @property
    def reduces_capacity(self) -> bool:
        """Whether the override takes capacity from any traffic, so that the safety limits apply to it."""
        if self.kind is OverrideKind.OUT_OF_SERVICE:
            return True
        return (self.kind is OverrideKind.WEIGHT and self.factor < 1.0) or self.strict

    def matches_process(self, endpoint: Endpoint) -> bool:
        """Whether the override is about the process that has the endpoint's name now."""
        return not self.process_started_at_ms or self.process_started_at_ms == endpoint.started_at_ms

    def matches_request(self, class_name: str, tenant: str, group: str) -> bool:
        """Whether a pin selects a request of this class, tenant and group."""
        if self.class_name and self.class_name != class_name:
            return False
        if self.tenant and self.tenant != tenant:
            return False
        return group.startswith(self.group_prefix)


class OperationRank(NamedTuple):
    """Orders the operations on one override by revision and time; the key breaks ties."""

    revision: int
    created_at_ms: float
    key: str


@dataclass(frozen=True, slots=True)
class OverrideOperation:
    """One operation on one override. Instants are milliseconds of Unix time."""

    override_id: str
    type: OperationType
    revision: int
    created_at_ms: float
    operator: str  # the name whose key signs the record
    reason: str
    expires_at_ms: float = 0.0  # set and extend; 0: a revocation, which has none
    payload: OverridePayload | None = None  # set
    forced: bool = False  # set: the safety limits do not suspend it
    nonce: str = ""

    @property
    def key(self) -> str:
        """The store key of the operation's record."""
        return f"{KEY_PREFIX}{self.override_id}/{self.revision:06d}-{self.operator}-{self.nonce}"

    @property
    def rank(self) -> OperationRank:
        """The operation's place among those on its override."""
        return OperationRank(self.revision, self.created_at_ms, self.key)


def new_override_id(kind: str) -> str:
    """Returns a random id such as ``out-5be2a07c`` for an override of this kind."""
    return f"{kind}-{secrets.token_hex(ID_RANDOM_BYTES)}"


def new_nonce() -> str:
    """Returns a random nonce: it keeps operations of one operator under one revision apart."""
    return secrets.token_hex(NONCE_BYTES)
