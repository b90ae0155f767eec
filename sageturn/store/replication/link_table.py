"""The established links of one member, and its uplink among them. No I/O, no clock."""

from __future__ import annotations

from collections.abc import ItemsView
from dataclasses import dataclass

from sageturn.store.replication.member_table import MemberTable
from sageturn.store.replication.routes import RouteAdvertisement


@dataclass(slots=True)
class Link:
    """An established link.

    Attributes:
        established_at: Monotonic seconds.
        is_dialed: True if this side dialed it.
        advertisement: The last route advertisement of the other side; None before the first one.
        redundant_since: The time since which neither side needs the link; None if it is needed.
        redundancy_grace_s: The seconds for which the link has to stay redundant before it is closed.
    """

    established_at: float
    is_dialed: bool
    advertisement: RouteAdvertisement | None = None
    redundant_since: float | None = None
    redundancy_grace_s: float = 0.0


class LinkTable:
    """Table of the established links by the name of the member at the other end."""

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
        """Return the link to a member; None if there is none."""
        return self._links.get(name)

    def items(self) -> ItemsView[str, Link]:
        """Return all links by the name of the member at the other end, the oldest first."""
        return self._links.items()

    def names(self) -> list[str]:
        """Return the names of all linked members."""
        return list(self._links)

    def add(self, name: str, link: Link) -> None:
        """Add a link; it replaces an earlier one to the same member."""
        self._links[name] = link
        self.invalidate()

    def remove(self, name: str) -> Link:
        """Remove and return the link to ``name``, which must exist."""
        self._confirmed.discard(name)
        self.invalidate()
        return self._links.pop(name)

    def confirm(self, name: str) -> None:
        """Record that the member at the other end has been in the member table while linked."""
        self._confirmed.add(name)

    def is_confirmed(self, name: str) -> bool:
        """Return whether the member has been in the member table while linked."""
        return name in self._confirmed

    def count_accepted(self, ignoring: str) -> int:
        """Return the number of accepted links, excluding the one to the member ``ignoring``."""
        return sum(not link.is_dialed for name, link in self._links.items() if name != ignoring)

    @property
    def has_redundant_link(self) -> bool:
        """True if any link is redundant and waits for the end of its grace period."""
        return any(link.redundant_since is not None for link in self._links.values())

    def invalidate(self) -> None:
        """Invalidate the cached uplink, after links or members changed."""
        self._uplink_is_current = False

    def uplink(self) -> str | None:
        """Return the most preferred of the linked members before this one in the global order, or None."""
        if not self._uplink_is_current:
            self._uplink = self._find_uplink()
            self._uplink_is_current = True
        return self._uplink

    def _find_uplink(self) -> str | None:
        candidates = self._members.parent_candidates
        best_name: str | None = None
        best_preference: tuple[int, int] | None = None
        for name in self._links:
            member = self._members.get(name)
            scope = None if member is None else candidates.scope_of(member)
            if scope is None or (best_preference is not None and scope > best_preference[0]):
                continue
            preference = scope, candidates.preferences(scope)[name]
            if best_preference is None or preference < best_preference:
                best_name = name
                best_preference = preference
        return best_name
