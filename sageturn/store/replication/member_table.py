"""The table of members, updated from this member's replica of the store. No I/O, no clock."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from sageturn.store.replication.membership import Address, Member, MembershipStatus
from sageturn.store.replication.tree_order import ParentCandidates


@dataclass(slots=True)
class MembershipChanges:
    """The members that an update of the table changed.

    Attributes:
        removed: Members that are not listed any more.
        updated: Members that are new or whose address, location or incarnation changed.
        started: The updated members that are new or have a larger incarnation.
    """

    removed: list[Member] = field(default_factory=list)
    updated: list[Member] = field(default_factory=list)
    started: list[Member] = field(default_factory=list)

    def __bool__(self) -> bool:
        return bool(self.removed or self.updated)


class MemberTable:
    """Table of all other members, with the membership status of this process."""

    def __init__(self, own: Member, fanout: int) -> None:
        self.own = own
        self.status = MembershipStatus.MEMBER
        self.other_members: dict[str, Member] = {}
        self.names_by_address: dict[Address, str] = {}
        self.parent_candidates = ParentCandidates(own, fanout)
        self._was_listed = False  # True once an update has listed this member

    def __len__(self) -> int:
        return len(self.other_members) + 1

    def get(self, name: str) -> Member | None:
        """Return the other member of that name; None if it is unknown or this member."""
        return self.other_members.get(name)

    def update(self, members: Iterable[Member]) -> MembershipChanges:
        """Replace the table by the complete list of members without the removed ones; return the changes."""
        listed = {member.name: member for member in members}
        self._update_status(listed.pop(self.own.name, None))
        changes = MembershipChanges()
        changes.removed = [member for name, member in self.other_members.items() if name not in listed]
        for member in changes.removed:
            self._remove(member)
        for member in listed.values():
            self._put(member, changes)
        return changes

    def supersede(self) -> None:
        """Record that a larger incarnation of this member exists."""
        self.status = MembershipStatus.SUPERSEDED

    def _update_status(self, own: Member | None) -> None:
        if own is None:
            if self._was_listed and self.status == MembershipStatus.MEMBER:
                self.status = MembershipStatus.REMOVED
            return
        self._was_listed = True
        if own.incarnation > self.own.incarnation:
            self.status = MembershipStatus.SUPERSEDED
        elif self.status != MembershipStatus.SUPERSEDED:
            self.status = MembershipStatus.MEMBER

    def _put(self, member: Member, changes: MembershipChanges) -> None:
        known = self.other_members.get(member.name)
        if known is member or known == member:  # usually the same object, so the identity check is cheap
            return
        if known is not None:
            self._remove(known)
        self.other_members[member.name] = member
        self.names_by_address[member.address] = member.name
        self.parent_candidates.add(member)
        changes.updated.append(member)
        if known is None or known.incarnation < member.incarnation:
            changes.started.append(member)

    def _remove(self, member: Member) -> None:
        del self.other_members[member.name]
        self.parent_candidates.remove(member)
        if self.names_by_address.get(member.address) == member.name:
            del self.names_by_address[member.address]
