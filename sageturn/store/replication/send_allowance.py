"""The use that one session makes of its replica's byte budget."""

from __future__ import annotations

from sageturn.store.replication.byte_budget import ByteBudget

FRAME_OVERHEAD_BYTES = 36  # length prefix and authentication tag
MIN_CHUNK_BUDGET_BYTES = 4096.0  # about one compressed chunk
MAX_CHUNK_BYTES = 16 << 10  # JSON bytes before compression; a larger record is sent alone


class SendAllowance:
    """Allowance of one session to send chunks from the byte budget. Times are monotonic seconds."""

    def __init__(self, budget: ByteBudget, is_unlimited: bool) -> None:
        """``is_unlimited`` is true if one side is an ephemeral client, which the budget does not bound."""
        self._budget = budget
        self.is_unlimited = is_unlimited

    def may_send_chunk(self, now: float, urgent: bool = False) -> bool:
        """Return whether the budget allows a chunk now."""
        return self.is_unlimited or self._budget.available_bytes(now, urgent) >= MIN_CHUNK_BUDGET_BYTES

    def next_chunk_at(self, now: float, urgent: bool = False) -> float:
        """Return when the budget allows a chunk."""
        return self._budget.available_at(now, MIN_CHUNK_BUDGET_BYTES, urgent)

    def record_sent(self, now: float, payload_bytes: int) -> None:
        """Account for a frame that was sent."""
        if not self.is_unlimited:
            self._budget.consume(now, payload_bytes + FRAME_OVERHEAD_BYTES)
