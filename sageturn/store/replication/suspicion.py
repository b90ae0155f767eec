"""Suspected members: addresses that could not be reached, whose links were lost, or that rejected a link.

Each failure lengthens the backoff before the address is dialed again. A link that is lost again and again
(flapping) has a backoff of its own, which a restart of the member doesn't end. No I/O, no clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from sageturn.store.replication.membership import Address

RETRY_BACKOFF_S = 1.0  # after the first failure; doubles with each
MAX_RETRY_BACKOFF_S = 60.0
FLAP_THRESHOLD = 3  # lost links, from which on a member counts as flapping
FLAP_BACKOFF_S = 5.0  # doubles with each lost link
MAX_FLAP_BACKOFF_S = 120.0
REJECTED_BACKOFF_S = 2.0  # after the first rejection; doubles with each
MAX_REJECTED_BACKOFF_S = 120.0
URGENT_RETRY_S = 10.0  # the longest backoff for a root that looks for other members
SUSPICION_TTL_S = 600.0  # since its last cause
MAX_COUNTED_EVENTS = 10  # of each kind; enough for the longest backoff


@dataclass(slots=True)
class SuspectedMember:
    """The failures of one address, and until when it is not dialed.

    ``failures`` counts dials that failed and links that were lost; ``losses`` only the latter.
    """

    failures: int = 0
    losses: int = 0
    rejections: int = 0
    retry_at: float = 0.0
    last_event_at: float = 0.0

    @property
    def is_flapping(self) -> bool:
        """Whether so many of its links were lost that a restart does not end its backoff."""
        return self.losses >= FLAP_THRESHOLD


class SuspicionTable:
    """Holds the suspected members by address. Times are monotonic seconds."""

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._suspects: dict[Address, SuspectedMember] = {}

    def __len__(self) -> int:
        return len(self._suspects)

    def record_failure(self, address: Address, now: float, link_lost: bool = False) -> None:
        """Records a failed dial, or the loss of an established link, and lengthens the backoff."""
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
        """Records that the member has rejected a dial, and lengthens the backoff."""
        suspect = self._suspects.setdefault(address, SuspectedMember())
        backoff_s = min(MAX_REJECTED_BACKOFF_S, REJECTED_BACKOFF_S * 2**suspect.rejections)
        suspect.rejections = min(suspect.rejections + 1, MAX_COUNTED_EVENTS)
        suspect.last_event_at = now
        suspect.retry_at = now + backoff_s * self._rng.uniform(0.5, 1.5)

    def on_dial_succeeded(self, address: Address, now: float) -> None:
        """Ends the backoff. The failures still count until a link has proved stable."""
        if (suspect := self._suspects.get(address)) is not None:
            suspect.retry_at = now
            suspect.rejections = 0

    def on_member_started(self, address: Address) -> None:
        """Clears the failures for a new incarnation, and ends the backoff unless the member is flapping."""
        if (suspect := self._suspects.get(address)) is not None:
            suspect.failures = 0
            if not suspect.is_flapping:
                suspect.retry_at = 0.0

    def clear(self, address: Address) -> None:
        """Forgets all failures of the address."""
        self._suspects.pop(address, None)

    def has_failed(self, address: Address) -> bool:
        """Whether a dial failed or a link was lost since the member's last start."""
        suspect = self._suspects.get(address)
        return suspect is not None and suspect.failures > 0

    def may_dial(self, address: Address, now: float, urgent: bool = False) -> bool:
        """Whether the backoff is over. An ``urgent`` dial waits for less, except at a flapping member."""
        suspect = self._suspects.get(address)
        if suspect is not None and now - suspect.last_event_at > SUSPICION_TTL_S:
            del self._suspects[address]
            suspect = None
        if suspect is None or suspect.retry_at <= now:
            return True
        return urgent and not suspect.is_flapping and now - suspect.last_event_at >= URGENT_RETRY_S

    def drop_expired(self, now: float) -> None:
        """Drops the suspicions whose last cause is long past, to bound the table."""
        self._suspects = {
            address: suspect
            for address, suspect in self._suspects.items()
            if now - suspect.last_event_at <= SUSPICION_TTL_S
        }
