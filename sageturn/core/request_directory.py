"""The directory of running requests, which passes the balancer's instructions to them by their ids."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass, field

from sageturn.core.messages import Instruction

log = logging.getLogger(__name__)

MAX_QUEUED_INSTRUCTIONS = 8  # a response, an attempt and a redirect can be queued together
REQUEST_ID_COUNT = 1 << 32  # number of request ids in the simulator's protocol


@dataclass(slots=True, eq=False)
class RequestHandle:
    """Ids of one request, and the queue of the balancer's instructions to its lifecycle."""

    id: int  # the balancer's id of the request
    log_id: str  # id in log lines: the client's id of its request, or ``id`` if it gave none
    instructions: asyncio.Queue[Instruction] = field(
        default_factory=lambda: asyncio.Queue(MAX_QUEUED_INSTRUCTIONS)
    )


class RequestDirectory:
    """Directory of requests by the ids that the balancer's events and actions carry."""

    def __init__(self) -> None:
        self._handles: dict[int, RequestHandle] = {}
        self._last_id = 0

    def __len__(self) -> int:
        return len(self._handles)

    def register(self, client_request_id: str) -> RequestHandle:
        """Register a request, which receives instructions until ``remove``.

        Args:
            client_request_id: the client's id of its request; empty if it gave none.
        """
        self._last_id = (self._last_id + 1) % REQUEST_ID_COUNT
        handle = RequestHandle(self._last_id, client_request_id or str(self._last_id))
        self._handles[handle.id] = handle
        return handle

    def remove(self, request_id: int) -> None:
        """Remove a request that has ended; later instructions for it are dropped."""
        self._handles.pop(request_id, None)

    def instruct(self, request_id: int, instruction: Instruction) -> None:
        """Queue an instruction for a request without waiting; it is lost if the request's queue is full."""
        handle = self._handles.get(request_id)
        if handle is None:
            return  # the connection closed before the balancer was notified
        try:
            handle.instructions.put_nowait(instruction)
        except asyncio.QueueFull:
            log.error("instruction lost, mailbox full request=%s instruction=%r", handle.log_id, instruction)

    def log_id(self, request_id: int | None) -> str:
        """Return the id of a request in log lines; ``-`` if ``request_id`` is None."""
        if request_id is None:
            return "-"
        handle = self._handles.get(request_id)
        return str(request_id) if handle is None else handle.log_id
