"""The dials in progress, and the addresses that may be dialed. No I/O, no clock."""

from __future__ import annotations

from collections.abc import Sequence

from sageturn.store.replication.link_table import LinkTable
from sageturn.store.replication.member_table import MemberTable
from sageturn.store.replication.membership import Address, Member
from sageturn.store.replication.suspicion import SuspicionTable

DIAL_TIMEOUT_S = 30.0
MAX_ALTERNATIVES = 8  # number of members that a rejection suggests


class DialTable:
    """Table of dials to seeds, to members, and to the alternatives that a rejection suggested."""

    def __init__(
        self, seeds: Sequence[Address], members: MemberTable, links: LinkTable, suspicions: SuspicionTable
    ) -> None:
        own = members.own.address
        self._members = members
        self._links = links
        self._suspicions = suspicions
        self._seeds = [seed for seed in dict.fromkeys(seeds) if seed != own]
        self._alternatives: set[Address] = set()
        self._started_at: dict[Address, float] = {}

    @property
    def in_progress_count(self) -> int:
        """The number of dials in progress."""
        return len(self._started_at)

    @property
    def max_tracked_addresses(self) -> int:
        """The maximum size of tables by address: twice the number of addresses that can be dialed."""
        return 2 * (len(self._members.names_by_address) + len(self._seeds) + MAX_ALTERNATIVES)

    @property
    def unknown_seeds(self) -> list[Address]:
        """The seeds that are not the address of a known member."""
        return [seed for seed in self._seeds if seed not in self._members.names_by_address]

    @property
    def alternatives(self) -> list[Address]:
        """The addresses that the last rejection suggested, sorted."""
        return sorted(self._alternatives)

    def set_alternatives(self, members: Sequence[Member]) -> None:
        """Replace the alternatives by the members that a rejection suggested."""
        own = self._members.own.address
        self._alternatives = {
            member.address for member in members[:MAX_ALTERNATIVES] if member.address != own
        }

    def clear_alternatives(self) -> None:
        """Drop the alternatives, which are obsolete once a link is established."""
        self._alternatives.clear()

    def start(self, address: Address, now: float) -> None:
        """Record the start of a dial to the address; ``finish`` has to follow."""
        self._started_at[address] = now

    def finish(self, address: Address) -> bool:
        """Record the end of a dial to the address; return whether one was in progress."""
        return self._started_at.pop(address, None) is not None

    def is_in_progress(self, address: Address) -> bool:
        """Return whether a dial to the address is in progress."""
        return address in self._started_at

    def timed_out_addresses(self, now: float) -> list[Address]:
        """Return the addresses whose dial has been in progress for at least ``DIAL_TIMEOUT_S``."""
        return [address for address, at in self._started_at.items() if now - at >= DIAL_TIMEOUT_S]

    def may_dial(self, address: Address, now: float, urgent: bool = False) -> bool:
        """Return whether no dial to the address is in progress and its backoff is over."""
        # This call comes first, even while a dial is in progress, because it drops an expired suspicion.
        backoff_over = self._suspicions.may_dial(address, now, urgent)
        return backoff_over and not self.is_in_progress(address)

    def may_dial_member(self, name: str, now: float, urgent: bool = False) -> bool:
        """Return whether the member is not linked and may be dialed."""
        if name in self._links:
            return False
        return self.may_dial(self._members.other_members[name].address, now, urgent)

    def next_untried(self, now: float) -> Address | None:
        """Return the address of the first untried member, in the search order, that may be dialed.

        A member is untried if no dial to it has failed and no link to it was lost since its start. Return
        None if there is none.
        """
        for name in self._members.parent_candidates.search_order():
            address = self._members.other_members[name].address
            # The call of may_dial_member comes first because it drops an expired suspicion.
            if self.may_dial_member(name, now) and not self._suspicions.has_failed(address):
                return address
        return None
