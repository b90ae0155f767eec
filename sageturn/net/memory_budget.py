"""Budget of the memory that clients and their endpoints make the relay hold.

Each connection has a standing share, which covers its sockets, tasks, buffers and TLS state. It holds further
memory while it has incomplete or unforwarded input. New connections are admitted only while their standing
share fits. Where held memory exceeds the budget, connections leave one by one until what the others have fits
again: first those without a request, then the others, and of each kind the one that holds the most beyond its
standing share. Its input is discarded at once.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from enum import IntEnum
from typing import NamedTuple

log = logging.getLogger(__name__)


class HeldFor(IntEnum):
    """Peer whose input is held, as an index of the connection's parts."""

    CLIENT = 0
    ENDPOINT = 1


class ConnectionStage(IntEnum):
    """Stage of a connection; those of a lower stage are asked to leave first."""

    PENDING = 0  # no valid request yet
    ACTIVE = 1  # its request is being placed, or is established


class MemoryLimits(NamedTuple):
    """Limits of a budget in bytes.

    Attributes:
        max_bytes: limit above which connections are asked to leave.
        admission_bytes: limit up to which connections are admitted; lower, so that input that is held for a
            moment makes no established connection leave.
    """

    max_bytes: int
    admission_bytes: int


def _do_nothing() -> None:
    """Do nothing: there is nothing to discard, or the connection has ended."""


class ConnectionMemory:
    """Account of one connection in the budget."""

    __slots__ = ("_budget", "_discards", "_held_bytes", "_on_shed", "is_shed", "stage", "standing_bytes")

    def __init__(self, budget: MemoryBudget, standing_bytes: int, on_shed: Callable[[], None]) -> None:
        self._budget = budget
        self._held_bytes = [0 for _ in HeldFor]
        self._discards: list[Callable[[], None]] = [_do_nothing for _ in HeldFor]
        self._on_shed = on_shed
        self.standing_bytes = standing_bytes
        self.stage = ConnectionStage.PENDING
        self.is_shed = False  # True once the connection has been asked to leave

    @property
    def extra_bytes(self) -> int:
        """Memory that the connection holds beyond its standing share."""
        return sum(self._held_bytes)

    @property
    def total_bytes(self) -> int:
        """All memory that is counted for the connection."""
        return self.standing_bytes + self.extra_bytes

    def hold(self, peer: HeldFor, held_bytes: int) -> None:
        """Set how much of the peer's input is held now, beyond the standing share."""
        change = held_bytes - self._held_bytes[peer]
        if change:
            self._held_bytes[peer] = held_bytes
            self._budget.on_change(change)

    def set_discard(self, peer: HeldFor, discard: Callable[[], None]) -> None:
        """Set what releases the peer's input at once, if the connection is asked to leave."""
        self._discards[peer] = discard

    def activate(self, on_shed: Callable[[], None] = _do_nothing) -> None:
        """Count the connection as one with a request; ``on_shed`` ends it or has its client reconnect."""
        self._on_shed = on_shed
        self.stage = ConnectionStage.ACTIVE

    def shed(self) -> None:
        """Discard the input that is held, and end the connection. Called by the budget, once."""
        self.is_shed = True
        for discard in self._discards:
            discard()
        self._on_shed()

    def release(self) -> None:
        """Give all memory back; the connection has ended."""
        for peer in HeldFor:
            self.hold(peer, 0)
            self.set_discard(peer, _do_nothing)
        self._budget.close(self)
        self._on_shed = _do_nothing


class MemoryBudget:
    """Sum of the memory of all connections, kept within a limit."""

    def __init__(self, limits: MemoryLimits) -> None:
        """``limits`` may be replaced at any time."""
        self.limits = limits
        self.used_bytes = 0
        self._standing_bytes = 0
        self.peak_bytes = 0
        self._recent_peak_bytes = 0  # since ``take_release`` was last true
        self.shed_connections = 0  # number of connections that were asked to leave
        self.rejected_connections = 0  # number of connections that were not admitted
        self._accounts: dict[ConnectionMemory, None] = {}  # oldest first

    def has_room_for(self, standing_bytes: int) -> bool:
        """Return whether a new connection with this standing share fits beside those of the others.

        What the others hold beyond their shares keeps nobody out: they leave if it is too much.
        """
        return self._standing_bytes + standing_bytes <= self.limits.admission_bytes

    def open(self, standing_bytes: int, on_shed: Callable[[], None]) -> ConnectionMemory:
        """Count a new connection.

        Args:
            standing_bytes: its standing share.
            on_shed: ends it while it is pending.
        """
        account = ConnectionMemory(self, standing_bytes, on_shed)
        self._accounts[account] = None
        self._standing_bytes += standing_bytes
        self.on_change(standing_bytes)
        return account

    def close(self, account: ConnectionMemory) -> None:
        """Stop counting a connection that has ended."""
        if account in self._accounts:
            del self._accounts[account]
            self._standing_bytes -= account.standing_bytes
            self.used_bytes -= account.standing_bytes

    def on_change(self, change_bytes: int) -> None:
        """Count a change of the memory in use, and have connections leave if it exceeds the limit."""
        self.used_bytes += change_bytes
        self.peak_bytes = max(self.peak_bytes, self.used_bytes)
        self._recent_peak_bytes = max(self._recent_peak_bytes, self.used_bytes)
        if change_bytes > 0 and self.used_bytes > self.limits.max_bytes:
            self._shed()

    def take_release(self, min_bytes: int) -> bool:
        """Return whether ``min_bytes`` were given back since this was last true."""
        if self._recent_peak_bytes - self.used_bytes < min_bytes:
            return False
        self._recent_peak_bytes = self.used_bytes
        return True

    def _shed(self) -> None:
        """Ask connections to leave until the others fit, or none is left that may be asked.

        One that was asked before no longer counts: it is about to give the rest of its memory back.
        """
        leaving_bytes = sum(account.total_bytes for account in self._accounts if account.is_shed)
        while self.used_bytes - leaving_bytes > self.limits.max_bytes:
            account = self._find_next_to_leave()
            if account is None:
                return
            self.shed_connections += 1
            log.info(
                "connection shed for memory stage=%s held_bytes=%d used_bytes=%d limit_bytes=%d",
                account.stage.name.lower(),
                account.extra_bytes,
                self.used_bytes,
                self.limits.max_bytes,
            )
            account.shed()
            leaving_bytes += account.total_bytes

    def _find_next_to_leave(self) -> ConnectionMemory | None:
        candidates = (
            account for account in self._accounts if not account.is_shed and account.extra_bytes > 0
        )
        return min(candidates, key=lambda account: (account.stage, -account.extra_bytes), default=None)
