"""The established links of one member, and which of them is its uplink. No I/O, no clock."""

from __future__ import annotations

from collections.abc import ItemsView
from dataclasses import dataclass

from sageturn.store.replication.member_table import MemberTable
from sageturn.store.replication.routes import RouteAdvertisement


@dataclass(slots=True)
class Link:
    """One established link.

    ``is_dialed`` is true if this side has dialed it; ``advertisement`` is the other side's last. A link that
    neither side needs has ``redundant_since``, and is closed ``redundancy_grace_s`` later.
    """

    established_at: float
    is_dialed: bool
    advertisement: RouteAdvertisement | None = None
    redundant_since: float | None = None
    redundancy_grace_s: float = 0.0


class LinkTable:
    """Holds the links by the name of the member at their other end."""

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
        """Returns the link to a member; None if there is none."""
        return self._links.get(name)

    def items(self) -> ItemsView[str, Link]:
        """Returns all links by the name of the member at the other end, the oldest first."""
        return self._links.items()

    def names(self) -> list[str]:
        """Returns the names of all linked members."""
        return list(self._links)

    def add(self, name: str, link: Link) -> None:
        """Adds a link, in place of an earlier one to the same member."""
        self._links[name] = link
        self.invalidate()

    def remove(self, name: str) -> Link:
        """Removes and returns the link to ``name``, which must exist."""
        self._confirmed.discard(name)
        self.invalidate()
        return self._links.pop(name)

    def confirm(self, name: str) -> None:
        """Records that the member at the other end has been in the member table while linked."""
        self._confirmed.add(name)

    def is_confirmed(self, name: str) -> bool:
        """Whether the member has been in the member table while linked."""
        return name in self._confirmed

    def count_accepted(self, ignoring: str) -> int:
        """Returns the number of links that the other side dialed, without the one to ``ignoring``."""
        return sum(not link.is_dialed for name, link in self._links.items() if name != ignoring)

    @property
    def any_redundant(self) -> bool:
        """Whether a link waits to be closed."""
        return any(link.redundant_since is not None for link in self._links.values())

    def invalidate(self) -> None:
        """Lets the uplink be found anew, after links or members changed."""
        self._uplink_is_current = False

    def uplink(self) -> str | None:
        """Returns the most preferred linked member before this one in the global order; None without one."""
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
