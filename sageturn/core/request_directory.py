"""The directory of running requests: their ids, and the way of the balancer's instructions to them."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass, field

from sageturn.core.messages import Instruction

log = logging.getLogger(__name__)

MAX_QUEUED_INSTRUCTIONS = 8  # a response, an attempt and a redirect can be due together
REQUEST_ID_COUNT = 1 << 32  # as many as the simulator's protocol has


@dataclass(slots=True, eq=False)
class RequestHandle:
    """Identifies one request to the balancer's actor, and carries its instructions to the lifecycle."""

    id: int  # by which the balancer knows the request
    log_id: str  # as the client named its request; the digits of ``id`` where it did not
    instructions: asyncio.Queue[Instruction] = field(
        default_factory=lambda: asyncio.Queue(MAX_QUEUED_INSTRUCTIONS)
    )


class RequestDirectory:
    """Finds requests by the ids that the balancer's events and actions carry."""

    def __init__(self) -> None:
        self._handles: dict[int, RequestHandle] = {}
        self._last_id = 0

    def __len__(self) -> int:
        return len(self._handles)

    def register(self, client_request_id: str) -> RequestHandle:
        """Register a request, which gets its instructions until ``remove``.

        Args:
            client_request_id: as the client named its request; empty where it did not.
        """
        self._last_id = (self._last_id + 1) % REQUEST_ID_COUNT
        handle = RequestHandle(self._last_id, client_request_id or str(self._last_id))
        self._handles[handle.id] = handle
        return handle

    def remove(self, request_id: int) -> None:
        """Forget a request that has ended; later instructions for it are dropped."""
        self._handles.pop(request_id, None)

    def instruct(self, request_id: int, instruction: Instruction) -> None:
        """Queue an instruction for a request. Never waits: an instruction that does not fit is lost."""
        handle = self._handles.get(request_id)
        if handle is None:
            return  # the connection closed before the balancer was notified
        try:
            handle.instructions.put_nowait(instruction)
        except asyncio.QueueFull:
            log.error("instruction lost, mailbox full request=%s instruction=%r", handle.log_id, instruction)

    def log_id(self, request_id: int | None) -> str:
        """Return the id by which the log names a request; ``-`` for what belongs to none."""
        if request_id is None:
            return "-"
        handle = self._handles.get(request_id)
        return str(request_id) if handle is None else handle.log_id
