"""Suspected members: addresses that could not be reached, whose links were lost, or that rejected a link.

Each failure lengthens the backoff before the address is dialed again. A member whose links are lost
repeatedly (flapping) has a separate backoff, which a restart of the member does not end. No I/O, no clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from sageturn.store.replication.membership import Address

RETRY_BACKOFF_S = 1.0  # backoff after the first failure; doubles with each failure
MAX_RETRY_BACKOFF_S = 60.0
FLAP_THRESHOLD = 3  # minimum number of lost links of a member that counts as flapping
FLAP_BACKOFF_S = 5.0  # base of the backoff, which doubles with each lost link
MAX_FLAP_BACKOFF_S = 120.0
REJECTED_BACKOFF_S = 2.0  # backoff after the first rejection; doubles with each rejection
MAX_REJECTED_BACKOFF_S = 120.0
MAX_URGENT_BACKOFF_S = 10.0  # maximum backoff for the dials of a root that searches for other members
SUSPICION_TTL_S = 600.0  # maximum age of the last failure or rejection
MAX_COUNTED_EVENTS = 10  # limit on each counter; suffices for the maximum backoffs


@dataclass(slots=True)
class SuspectedMember:
    """The counted failures of one address, and the end of its backoff.

    Attributes:
        failures: The number of failed dials and lost links.
        losses: The number of lost links.
        rejections: The number of rejected dials.
        retry_at: The time at which the backoff ends.
        last_event_at: The time of the last failure or rejection.
    """

    failures: int = 0
    losses: int = 0
    rejections: int = 0
    retry_at: float = 0.0
    last_event_at: float = 0.0

    @property
    def is_flapping(self) -> bool:
        """True if at least ``FLAP_THRESHOLD`` links were lost: a restart then does not end the backoff."""
        return self.losses >= FLAP_THRESHOLD


class SuspicionTable:
    """Table of the suspected members by address. Times are monotonic seconds."""

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._suspects: dict[Address, SuspectedMember] = {}

    def __len__(self) -> int:
        return len(self._suspects)

    def record_failure(self, address: Address, now: float, link_lost: bool = False) -> None:
        """Record a failed dial, or the loss of an established link, and lengthen the backoff."""
        suspect = self._suspects.setdefault(address, SuspectedMember())
        suspect.failures = min(suspect.failures + 1, MAX_COUNTED_EVENTS)
        if link_lost:
            suspect.losses = min(suspect.losses + 1, MAX_COUNTED_EVENTS)
        suspect.last_event_at = now
        if link_lost and suspect.is_flapping:
            backoff_s = min(MAX_FLAP_BACKOFF_S, FLAP_BACKOFF_S * 2**suspect.losses)
        else:
            backoff_s = min(MAX_RETRY_BACKOFF_S, RETRY_BACKOFF_S * 2 ** (suspect.failures - 1))
        suspect.retry_at = max(suspect.retry_at, now + backoff_s * self._rng.uniform(0.5, 1))

    def record_rejection(self, address: Address, now: float) -> None:
        """Record that the member has rejected a dial, and lengthen the backoff."""
        suspect = self._suspects.setdefault(address, SuspectedMember())
        backoff_s = min(MAX_REJECTED_BACKOFF_S, REJECTED_BACKOFF_S * 2**suspect.rejections)
        suspect.rejections = min(suspect.rejections + 1, MAX_COUNTED_EVENTS)
        suspect.last_event_at = now
        suspect.retry_at = now + backoff_s * self._rng.uniform(0.5, 1.5)

    def on_dial_succeeded(self, address: Address, now: float) -> None:
        """End the backoff. The failures count until a link was stable, see ``overlay.STABLE_LINK_S``."""
        if (suspect := self._suspects.get(address)) is not None:
            suspect.retry_at = now
            suspect.rejections = 0

    def on_member_started(self, address: Address) -> None:
        """Clear the failures for a new incarnation, and end the backoff unless the member is flapping."""
        if (suspect := self._suspects.get(address)) is not None:
            suspect.failures = 0
            if not suspect.is_flapping:
                suspect.retry_at = 0.0

    def clear(self, address: Address) -> None:
        """Remove the suspicion of the address."""
        self._suspects.pop(address, None)

    def has_failed(self, address: Address) -> bool:
        """Return whether a dial failed or a link was lost since the member's last start."""
        suspect = self._suspects.get(address)
        return suspect is not None and suspect.failures > 0

    def may_dial(self, address: Address, now: float, urgent: bool = False) -> bool:
        """Return whether the backoff is over; ``urgent`` shortens it unless the member is flapping."""
        suspect = self._suspects.get(address)
        if suspect is not None and now - suspect.last_event_at > SUSPICION_TTL_S:
            del self._suspects[address]
            suspect = None
        if suspect is None or suspect.retry_at <= now:
            return True
        return urgent and not suspect.is_flapping and now - suspect.last_event_at >= MAX_URGENT_BACKOFF_S

    def drop_expired(self, now: float) -> None:
        """Drop the suspicions without an event for ``SUSPICION_TTL_S``, to bound the table."""
        self._suspects = {
            address: suspect
            for address, suspect in self._suspects.items()
            if now - suspect.last_event_at <= SUSPICION_TTL_S
        }
