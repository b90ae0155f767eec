"""The dials under way, and which addresses may be dialed. No I/O, no clock."""

from __future__ import annotations

from collections.abc import Sequence

from sageturn.store.replication.link_table import LinkTable
from sageturn.store.replication.member_table import MemberTable
from sageturn.store.replication.membership import Address, Member
from sageturn.store.replication.suspicion import SuspicionTable

DIAL_TIMEOUT_S = 30.0  # a dial without an answer counts as failed after so long
MAX_ALTERNATIVES = 8  # members named in a rejection


class DialTable:
    """Who can be dialed: seeds, members, and the alternatives that a rejection named."""

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
    def in_progress(self) -> int:
        """How many dials are under way."""
        return len(self._started_at)

    @property
    def max_tracked_addresses(self) -> int:
        """How many addresses are remembered at most: twice as many as can be known."""
        return 2 * (len(self._members.names_by_address) + len(self._seeds) + MAX_ALTERNATIVES)

    @property
    def unknown_seeds(self) -> list[Address]:
        """Seeds at which no known member lives."""
        return [seed for seed in self._seeds if seed not in self._members.names_by_address]

    @property
    def alternatives(self) -> list[Address]:
        """Whom the last rejection named, in a fixed order."""
        return sorted(self._alternatives)

    def set_alternatives(self, members: Sequence[Member]) -> None:
        """Takes the members that a rejection named, in place of those of an earlier one."""
        own = self._members.own.address
        self._alternatives = {
            member.address for member in members[:MAX_ALTERNATIVES] if member.address != own
        }

    def clear_alternatives(self) -> None:
        """A link is up: the alternatives are not needed any more."""
        self._alternatives.clear()

    def start(self, address: Address, now: float) -> None:
        """A dial to the address begins; ``finish`` has to follow."""
        self._started_at[address] = now

    def finish(self, address: Address) -> bool:
        """The dial was answered, or failed; whether it was under way."""
        return self._started_at.pop(address, None) is not None

    def is_in_progress(self, address: Address) -> bool:
        """Whether a dial to the address is under way."""
        return address in self._started_at

    def timed_out(self, now: float) -> list[Address]:
        """Addresses whose dial has had no answer for too long."""
        return [address for address, at in self._started_at.items() if now - at >= DIAL_TIMEOUT_S]

    def may_dial(self, address: Address, now: float, urgent: bool = False) -> bool:
        """Whether no dial to the address is under way and its backoff is over."""
        # The suspicion goes first: it drops what has expired.
        backoff_over = self._suspicions.may_dial(address, now, urgent)
        return backoff_over and not self.is_in_progress(address)

    def may_dial_member(self, name: str, now: float, urgent: bool = False) -> bool:
        """Whether the member is not linked and may be dialed."""
        return name not in self._links and self.may_dial(self._members.others[name].address, now, urgent)

    def next_untried(self, now: float) -> Address | None:
        """The next member before this one that has not failed since it started."""
        for name in self._members.parent_candidates.search_order():
            address = self._members.others[name].address
            # Asked first: may_dial_member drops an expired suspicion, which still counts this once.
            has_failed = self._suspicions.has_failed(address)
            if self.may_dial_member(name, now) and not has_failed:
                return address
        return None
