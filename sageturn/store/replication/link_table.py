"""The established links of one member, and which of them is its uplink. No I/O, no clock."""

from __future__ import annotations

from collections.abc import ItemsView
from dataclasses import dataclass

from sageturn.store.replication.member_table import MemberTable
from sageturn.store.replication.routes import RouteAdvertisement


@dataclass(slots=True)
class Link:
    """One established link."""

    established_at: float
    is_dialed: bool  # by this side
    advertisement: RouteAdvertisement | None = None  # the other side's last
    redundant_since: float | None = None  # neither side has needed it since
    redundancy_grace_s: float = 0.0  # how long it stays after that


class LinkTable:
    """The links by the name of the member at their other end."""

    def __init__(self, members: MemberTable) -> None:
        self._members = members
        self._links: dict[str, Link] = {}
        self._confirmed: set[str] = set()
        self._uplink: str | None = None
        self._uplink_is_current = True

    def __len__(self) -> int:
        return len(self._links)

    def __contains__(self, name: str) -> bool:
        return name in self._links

    def __getitem__(self, name: str) -> Link:
        return self._links[name]

    def get(self, name: str) -> Link | None:
        """The link to the member, if there is one."""
        return self._links.get(name)

    def items(self) -> ItemsView[str, Link]:
        """All links with the names of the members at their other ends, the oldest first."""
        return self._links.items()

    def names(self) -> list[str]:
        """The names of all linked members."""
        return list(self._links)

    def add(self, name: str, link: Link) -> None:
        """A link is established; it replaces an earlier one to the same member."""
        self._links[name] = link
        self.invalidate()

    def remove(self, name: str) -> Link:
        """The link to ``name``, which must exist, is over."""
        self._confirmed.discard(name)
        self.invalidate()
        return self._links.pop(name)

    def confirm(self, name: str) -> None:
        """The member at the other end has been in the member table while the link stood."""
        self._confirmed.add(name)

    def is_confirmed(self, name: str) -> bool:
        """Whether the member has been in the member table while the link stood."""
        return name in self._confirmed

    def count_accepted(self, ignoring: str) -> int:
        """Links that the other side dialed, not counting the one to ``ignoring``."""
        return sum(not link.is_dialed for name, link in self._links.items() if name != ignoring)

    @property
    def any_redundant(self) -> bool:
        """Whether a link waits to be closed."""
        return any(link.redundant_since is not None for link in self._links.values())

    def invalidate(self) -> None:
        """Links or members changed: the uplink has to be found anew."""
        self._uplink_is_current = False

    def uplink(self) -> str | None:
        """The most preferred linked member before this one in the global order; None without one."""
        if not self._uplink_is_current:
            self._uplink = self._find_uplink()
            self._uplink_is_current = True
        return self._uplink

    def _find_uplink(self) -> str | None:
        candidates = self._members.parent_candidates
        best_name: str | None = None
        best_place: tuple[int, int] | None = None
        for name in self._links:
            member = self._members.get(name)
            scope = None if member is None else candidates.scope_of(member)
            if scope is None or (best_place is not None and scope > best_place[0]):
                continue
            place = scope, candidates.preferences(scope)[name]
            if best_place is None or place < best_place:
                best_name = name
                best_place = place
        return best_name
