"""Who may hold a descriptor: bounds on connections that have not asked yet, shared by all listeners."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from dataclasses import dataclass

# What a relay was seen to use: 23 MB once it runs, and 45 KB more for each standing connection.
BASE_MB = 26.0
CONNECTION_MB = 48.0 / 1024.0
# Of the descriptors, the part for those who have not asked. Usual clients need two thirds (two for each
# request), and half of what is left over is for closing sockets, discovery, files and the log.
UNASKED_PART = 1.0 / 6.0
UNASKED_LEAST = 8


@dataclass(frozen=True, slots=True)
class ProcessLimits:
    """What the platform allows this process."""

    sockets: int
    memory_mb: float

    @property
    def awaiting_request(self) -> int:
        """Connections that have not asked for anything yet."""
        return max(UNASKED_LEAST, min(int(self.sockets * UNASKED_PART), self.held // 2))

    @property
    def held(self) -> int:
        """Connections from clients, whatever their state; endpoints' come on top in ``CONNECTION_MB``."""
        return max(2 * UNASKED_LEAST, int((self.memory_mb - BASE_MB) / CONNECTION_MB))


class PendingConnection:
    """One accepted connection. Until it has asked, its time is short and can be cut at any moment."""

    def __init__(self, admission: AdmissionController) -> None:
        self._admission = admission
        self._accepted_s = asyncio.get_running_loop().time()
        self._timeout: asyncio.Timeout | None = None
        self.evicted = False

    def time_limit(self, seconds: float) -> asyncio.Timeout:
        """To be entered around each wait for the client; ``seconds`` count from its acceptance."""
        until = 0.0 if self.evicted else self._accepted_s + seconds
        self._timeout = asyncio.timeout_at(until)
        return self._timeout

    def evict(self) -> None:
        self.evicted = True
        if self._timeout is not None:
            with suppress(RuntimeError):  # its time was just over anyway, or nothing is waited for
                self._timeout.reschedule(0.0)

    def mark_active(self) -> None:
        """It has made a request that can be used: from here on it is a client, and stays."""
        self._admission.mark_active(self)


class AdmissionController:
    """Counts what all listeners hold. The longest silent make room for the newest."""

    def __init__(self, limits: ProcessLimits) -> None:
        self.limits = limits
        self.held = 0
        self._awaiting_request: dict[PendingConnection, None] = {}  # in the order of arrival

    @property
    def is_full(self) -> bool:
        return self.held >= self.limits.held

    @property
    def awaiting_request(self) -> int:
        """Connections that have not asked yet."""
        return len(self._awaiting_request)

    def admit(self) -> PendingConnection:
        pending = PendingConnection(self)
        self.held += 1
        self._awaiting_request[pending] = None
        while len(self._awaiting_request) > self.limits.awaiting_request:
            self.evict_oldest_pending()
        return pending

    def evict_oldest_pending(self) -> bool:
        """False if everyone has asked."""
        oldest = next(iter(self._awaiting_request), None)
        if oldest is None:
            return False
        del self._awaiting_request[oldest]
        oldest.evict()
        return True

    def evict_all_pending(self) -> None:
        while self.evict_oldest_pending():
            pass

    def mark_active(self, pending: PendingConnection) -> None:
        self._awaiting_request.pop(pending, None)

    def release(self, pending: PendingConnection) -> None:
        self.mark_active(pending)
        self.held -= 1
