"""Selection of links to close because neither side needs them. No I/O, no clock."""

from __future__ import annotations

from sageturn.store.replication.link_table import Link
from sageturn.store.replication.membership import MembershipStatus
from sageturn.store.replication.overlay_state import OverlayState

REPLACEMENT_SETTLE_S = 3.0  # minimum uptime of a link that replaces another
UNKNOWN_PEER_GRACE_S = 10.0  # uptime of a link before a peer missing in the member table is disconnected


class LinkPruner:
    """Selector of the links to close; a link between two members is closed by the side that dialed it."""

    def __init__(self, state: OverlayState) -> None:
        self._state = state

    def links_to_close(self, now: float) -> list[str]:
        """Return the names of the members whose links should be closed now."""
        state = self._state
        if state.members.status != MembershipStatus.MEMBER:
            return state.links.names()
        return [name for name, link in state.links.items() if self._should_close(name, link, now)]

    def _should_close(self, name: str, link: Link, now: float) -> bool:
        state = self._state
        if state.members.get(name) is None:
            was_removed = state.links.is_confirmed(name)
            return was_removed or now - link.established_at >= UNKNOWN_PEER_GRACE_S
        if not link.is_dialed or not self._is_redundant(name, link, now):
            link.redundant_since = None
            return False
        if link.redundant_since is None:
            link.redundant_since = now
            # The delay is random so that two links that make each other redundant are not closed together.
            link.redundancy_grace_s = state.rng.uniform(REPLACEMENT_SETTLE_S, 2 * REPLACEMENT_SETTLE_S)
            return False
        return now - link.redundant_since >= link.redundancy_grace_s

    def _is_redundant(self, name: str, link: Link, now: float) -> bool:
        """Return whether neither side needs the link, and both sides follow the same root without it."""
        links = self._state.links
        routes = self._state.routes
        root_path = routes.root_path(now)
        if name in (links.uplink(), root_path):
            return False
        if link.advertisement is not None and link.advertisement.is_root_path:
            return False
        if routes.advertised_root(link, now) != routes.current_root(now):
            return False
        return root_path is None or now - links[root_path].established_at >= REPLACEMENT_SETTLE_S
