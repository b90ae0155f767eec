"""The path to the root, determined from the route advertisements on the links. No I/O, no clock."""

from __future__ import annotations

from dataclasses import dataclass

from sageturn.store.replication.link_table import Link, LinkTable
from sageturn.store.replication.membership import Member
from sageturn.store.replication.routes import RouteAdvertisement
from sageturn.store.replication.tree_order import rank_of_member

ROOT_HEARTBEAT_INTERVAL_S = 1.0
ROOT_HEARTBEAT_TTL_S = 5.0  # maximum age of a live root's last new heartbeat
MAX_REMEMBERED_ROOTS = 64


@dataclass(frozen=True, slots=True)
class _RootHeartbeat:
    incarnation: int
    sequence: int
    received_at: float


class RouteTable:
    """Table of the latest heartbeat of each root, with the link over which the current root is reached."""

    def __init__(self, own: Member, links: LinkTable) -> None:
        self._own = own
        self._own_rank = rank_of_member(own)
        self._links = links
        self._heartbeats: dict[int, _RootHeartbeat] = {}  # key: root's rank; most recently updated last
        self._root_path: str | None = None
        self._root_path_at: float | None = None  # time for which the path was computed; None if stale

    def invalidate(self) -> None:
        """Invalidate the cached path to the root, after links or members changed."""
        self._root_path_at = None

    def record(self, link: Link, advertisement: RouteAdvertisement, now: float) -> None:
        """Record an advertisement of the other side of a link."""
        link.advertisement = advertisement
        self.invalidate()
        rank = advertisement.root_rank
        latest = self._heartbeats.get(rank)
        heartbeat_number = (advertisement.root_incarnation, advertisement.sequence)
        # Advertisements that circulate after a root's death have no new sequence number, so they expire.
        if latest is None or heartbeat_number > (latest.incarnation, latest.sequence):
            self._heartbeats.pop(rank, None)
            self._heartbeats[rank] = _RootHeartbeat(*heartbeat_number, now)
            while len(self._heartbeats) > MAX_REMEMBERED_ROOTS:
                del self._heartbeats[next(iter(self._heartbeats))]

    def root_path(self, now: float) -> str | None:
        """Return the name of the member over whose link the root is reached; None on the root itself."""
        if self._root_path_at != now:
            self._root_path = self._find_root_path(now)
            self._root_path_at = now
        return self._root_path

    def current_root(self, now: float) -> int:
        """Return the rank of the root that this member follows."""
        advertisement = self._root_path_advertisement(now)
        return self._own_rank if advertisement is None else advertisement.root_rank

    def advertised_root(self, link: Link, now: float) -> int | None:
        """Return the rank of a live root that the other side reaches without this member.

        Return None if there is no such root.
        """
        advertisement = link.advertisement
        if advertisement is None or advertisement.is_root_path:
            return None
        latest = self._heartbeats.get(advertisement.root_rank)
        if latest is None or advertisement.root_incarnation != latest.incarnation:
            return None
        if (latest.sequence - advertisement.sequence) * ROOT_HEARTBEAT_INTERVAL_S > ROOT_HEARTBEAT_TTL_S:
            return None
        if now - latest.received_at > ROOT_HEARTBEAT_TTL_S:
            return None
        return advertisement.root_rank

    def make_advertisement(self, name: str, now: float) -> RouteAdvertisement:
        """Return the route advertisement for the next heartbeat to ``name``."""
        root_path = self.root_path(now)
        from_root = self._root_path_advertisement(now)
        if from_root is None or root_path == name:
            return RouteAdvertisement(
                root_rank=self._own_rank,
                root_incarnation=self._own.incarnation,
                sequence=int(now / ROOT_HEARTBEAT_INTERVAL_S),
                is_root_path=root_path is not None,
                member_count=self._count_subtree(root_path),
            )
        return RouteAdvertisement(
            root_rank=from_root.root_rank,
            root_incarnation=from_root.root_incarnation,
            sequence=from_root.sequence,
            is_root_path=False,
            member_count=from_root.member_count,
        )

    def member_count(self, now: float) -> int:
        """Return the number of members in this member's tree, as advertised."""
        from_root = self._root_path_advertisement(now)
        return self._count_subtree(self.root_path(now)) if from_root is None else from_root.member_count

    def _root_path_advertisement(self, now: float) -> RouteAdvertisement | None:
        root_path = self.root_path(now)
        return None if root_path is None else self._links[root_path].advertisement

    def _count_subtree(self, root_path: str | None) -> int:
        """Return the number of members that reach the root over this one, including itself."""
        return 1 + sum(
            link.advertisement.member_count
            for name, link in self._links.items()
            if link.advertisement is not None and link.advertisement.is_root_path and name != root_path
        )

    def _find_root_path(self, now: float) -> str | None:
        best_rank = self._own_rank
        best_name: str | None = None
        uplink = self._links.uplink()
        for name, link in self._links.items():
            rank = self.advertised_root(link, now)
            if rank is None:
                continue
            is_tied_uplink = rank == best_rank and best_name is not None and name == uplink
            if rank < best_rank or is_tied_uplink:
                best_rank = rank
                best_name = name
        return best_name
