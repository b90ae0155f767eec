"""The interface between a replica and the module that decides which members link to each other."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from typing import Protocol

from sageturn.store.replication.membership import Address, LinkRejected, Member
from sageturn.store.replication.routes import RouteAdvertisement


class Topology(Protocol):
    """Decisions on links to other members, made by ``overlay.Overlay``. Times are monotonic seconds."""

    @property
    def membership_status(self) -> str:
        """The membership status of this process; see ``MembershipStatus``."""
        ...

    def update_members(self, members: Iterable[Member]) -> None:
        """Handle an update of the membership; ``members`` are all members but the removed ones."""
        ...

    def check_admission(self, member: Member, now: float) -> LinkRejected | None:
        """Return the rejection of a link that ``member`` dialed; None if the link is accepted."""
        ...

    def on_link_established(self, name: str, now: float, dialed: Address | None = None) -> None:
        """Handle a new link to ``name``; ``dialed`` is the address if this side dialed, else None."""
        ...

    def on_link_closed(self, name: str, now: float, orderly: bool = False) -> None:
        """Handle the end of the last link to a member.

        ``orderly`` is true if either side closed it intentionally.
        """
        ...

    def on_dial_failed(self, address: Address, now: float) -> None:
        """Handle a dial without an answer, or whose connection ended before the link was established."""
        ...

    def on_dial_rejected(self, address: Address, now: float, rejection: LinkRejected) -> None:
        """Handle a dial that the member at the address has rejected."""
        ...

    def make_advertisement(self, name: str, now: float) -> RouteAdvertisement:
        """Return the route advertisement for the next heartbeat to ``name``."""
        ...

    def on_advertisement(self, name: str, advertisement: RouteAdvertisement, now: float) -> None:
        """Handle the route advertisement in a heartbeat from ``name``."""
        ...

    def addresses_to_dial(self, now: float) -> Sequence[Address]:
        """Return the addresses to dial now.

        For each the caller has to call ``on_link_established``, ``on_dial_failed`` or ``on_dial_rejected``.
        """
        ...

    def links_to_close(self, now: float) -> Sequence[str]:
        """Return the names of the members whose links should be closed now."""
        ...

    def next_wakeup(self, now: float) -> float:
        """Return the time at which the caller has to ask for decisions again if no event occurs earlier."""
        ...


TopologyFactory = Callable[[Member], Topology]
