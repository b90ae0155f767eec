"""When a session may send something large, within its replica's byte budget."""

from __future__ import annotations

from sageturn.store.replication.byte_budget import ByteBudget

FRAME_OVERHEAD_BYTES = 36  # length and authentication tag of a frame, see ``store/channel.py``
MIN_CHUNK_BUDGET_BYTES = 4096.0  # below this no chunk is begun; a compressed chunk has about so many
MAX_CHUNK_BYTES = 16 << 10  # of JSON; one record that is larger goes alone


class SendAllowance:
    """One session's view of the byte budget that all sessions of a replica share."""

    def __init__(self, budget: ByteBudget, is_unlimited: bool) -> None:
        self._budget = budget
        self.is_unlimited = is_unlimited  # an operator's client for a moment is not held back

    def may_send_chunk(self, now: float, urgent: bool = False) -> bool:
        """Whether the budget allows a chunk now."""
        return self.is_unlimited or self._budget.available_bytes(now, urgent) >= MIN_CHUNK_BUDGET_BYTES

    def next_chunk_at(self, now: float, urgent: bool = False) -> float:
        """When the budget allows a chunk."""
        return self._budget.available_at(now, MIN_CHUNK_BUDGET_BYTES, urgent)

    def record_sent(self, now: float, payload_bytes: int) -> None:
        """Account for a frame that was sent."""
        if not self.is_unlimited:
            self._budget.consume(now, payload_bytes + FRAME_OVERHEAD_BYTES)
