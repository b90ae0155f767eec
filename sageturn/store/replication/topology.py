"""What a replica needs from the module that decides which members link to each other."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from typing import Protocol

from sageturn.store.replication.membership import Address, LinkRejected, Member
from sageturn.store.replication.routes import RouteAdvertisement


class Topology(Protocol):
    """Who links to whom; implemented by ``overlay.Overlay``. Times are seconds of a monotonic clock."""

    @property
    def membership_status(self) -> str:
        """Whether this process counts as a member; see ``MembershipStatus``."""
        ...

    def update_members(self, members: Iterable[Member]) -> None:
        """The store's members have changed to these."""
        ...

    def check_admission(self, member: Member, now: float) -> LinkRejected | None:
        """Whether a member that has dialed this one may have a link; None if it may."""
        ...

    def on_link_established(self, name: str, now: float, dialed: Address | None = None) -> None:
        """A link is up; ``dialed`` is the address if this side has dialed it."""
        ...

    def on_link_lost(self, name: str, now: float, orderly: bool = False) -> None:
        """No link to a member is up any more; ``orderly`` if one side closed it on purpose."""
        ...

    def on_dial_failed(self, address: Address, now: float) -> None:
        """An address could not be reached, or no link came of it."""
        ...

    def on_dial_rejected(self, address: Address, now: float, rejection: LinkRejected) -> None:
        """The member at an address doesn't want the link."""
        ...

    def make_advertisement(self, name: str, now: float) -> RouteAdvertisement:
        """What the next heartbeat to a member says of the root."""
        ...

    def on_advertisement(self, name: str, advertisement: RouteAdvertisement, now: float) -> None:
        """What a member's heartbeat said of the root."""
        ...

    def addresses_to_dial(self, now: float) -> Sequence[Address]:
        """The addresses to dial now; each is reported back by one of the methods above."""
        ...

    def links_to_close(self, now: float) -> Sequence[str]:
        """The members whose links are not needed any more."""
        ...

    def next_wakeup(self, now: float) -> float:
        """When to ask for addresses and links again at the latest."""
        ...


TopologyFactory = Callable[[Member], Topology]
