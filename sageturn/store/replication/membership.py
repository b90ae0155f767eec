"""The types of the replication group's membership. No I/O.

Two processes can use one name, for instance a restarted process and a copy of it that still runs. The larger
incarnation wins; the process of the other, stale incarnation becomes ``SUPERSEDED`` and no longer takes part
in replication.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

Address = tuple[str, int]


class MembershipStatus(StrEnum):
    """The membership status of this process."""

    MEMBER = "member"
    SUPERSEDED = "superseded"  # a larger incarnation of the same name exists
    REMOVED = "removed"  # an operator removed the member


class RejectReason(StrEnum):
    """The reason why a link is not accepted. The values go over the wire."""

    FULL = "full"
    SAME_NAME = "same name"
    SUPERSEDED = "superseded"


@dataclass(frozen=True, slots=True)
class Member:
    """A member of the replication group, with its address and location.

    Of two members with the same name, the one with the larger incarnation wins.
    """

    name: str
    address: Address
    region: str
    zone: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class LinkRejected:
    """The response to a member whose link is not accepted.

    Attributes:
        reason: A ``RejectReason``, or an unknown value that a peer has sent.
        alternatives: Members to dial instead.
    """

    reason: str
    alternatives: tuple[Member, ...] = ()
