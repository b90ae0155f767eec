"""The interface between a replica and the module that decides which members link to each other."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from typing import Protocol

from sageturn.store.replication.membership import Address, LinkRejected, Member
from sageturn.store.replication.routes import RouteAdvertisement


class Topology(Protocol):
    """Decides who links to whom; implemented by ``overlay.Overlay``. Times are monotonic seconds."""

    @property
    def membership_status(self) -> str:
        """Whether this process counts as a member; see ``MembershipStatus``."""
        ...

    def update_members(self, members: Iterable[Member]) -> None:
        """Takes the complete membership, without the members that were removed."""
        ...

    def check_admission(self, member: Member, now: float) -> LinkRejected | None:
        """Returns the rejection of a member that has dialed this one; None if it may have a link."""
        ...

    def on_link_established(self, name: str, now: float, dialed: Address | None = None) -> None:
        """Handles a new link; ``dialed`` is the address if this side has dialed it."""
        ...

    def on_link_lost(self, name: str, now: float, orderly: bool = False) -> None:
        """Handles the end of the last link to a member; ``orderly`` if one side closed it on purpose."""
        ...

    def on_dial_failed(self, address: Address, now: float) -> None:
        """Handles a dial that got no answer, or whose link ended before it was established."""
        ...

    def on_dial_rejected(self, address: Address, now: float, rejection: LinkRejected) -> None:
        """Handles a dial that the member at the address has answered by a rejection."""
        ...

    def make_advertisement(self, name: str, now: float) -> RouteAdvertisement:
        """Returns what the next heartbeat to a member says of the root."""
        ...

    def on_advertisement(self, name: str, advertisement: RouteAdvertisement, now: float) -> None:
        """Handles what a member's heartbeat said of the root."""
        ...

    def addresses_to_dial(self, now: float) -> Sequence[Address]:
        """Returns the addresses to dial now.

        ``on_link_established``, ``on_dial_failed`` or ``on_dial_rejected`` has to follow for each.
        """
        ...

    def links_to_close(self, now: float) -> Sequence[str]:
        """Returns the names of the members whose links are not needed any more."""
        ...

    def next_wakeup(self, now: float) -> float:
        """Returns when to ask for addresses and links again at the latest."""
        ...


TopologyFactory = Callable[[Member], Topology]
