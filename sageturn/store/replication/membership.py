"""The types of the replication group's membership. No I/O.

Two processes can claim one name, for instance a restarted one and a copy of it that still runs. The larger
incarnation wins; the other is a stale incarnation, becomes ``SUPERSEDED`` and takes part in nothing any more.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

Address = tuple[str, int]


class MembershipStatus(StrEnum):
    """Whether this process counts as a member."""

    MEMBER = "member"
    SUPERSEDED = "superseded"  # by a larger incarnation of the same name
    REMOVED = "removed"  # by an operator


class RejectReason(StrEnum):
    """Why a link is not accepted. The values go over the wire."""

    FULL = "full"
    SAME_NAME = "same name"
    SUPERSEDED = "superseded"


@dataclass(frozen=True, slots=True)
class Member:
    """One member of the group, and where it can be dialed.

    Of two with one name the larger incarnation wins.
    """

    name: str
    address: Address
    region: str
    zone: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class LinkRejected:
    """The answer to a member whose link is not accepted.

    ``reason`` is a ``RejectReason``, or an unknown one that came over the wire; ``alternatives`` are members
    to dial instead.
    """

    reason: str
    alternatives: tuple[Member, ...] = ()
