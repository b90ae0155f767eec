"""Cancelling tasks reliably, and waiting for a deadline that may move meanwhile or for an event."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress
from typing import Any


async def cancel_and_wait(task: asyncio.Future[Any] | None) -> None:
    """Cancel and wait until the task has ended: what it holds may only be used again after that.

    The task's error, if it has one, is retrieved and dropped.
    """
    if task is None:
        return
    task.cancel()
    await asyncio.wait((task,))
    if not task.cancelled():
        task.exception()


async def wait_for_event(event: asyncio.Event, timeout_s: float) -> None:
    """Return once the event is set, or after ``timeout_s`` seconds."""
    with suppress(TimeoutError):
        async with asyncio.timeout(timeout_s):
            await event.wait()


async def sleep_until_elapsed(remaining_s: Callable[[float], float]) -> None:
    """Return once ``remaining_s``, given the loop's time, is 0 or less; it is called after each sleep."""
    loop = asyncio.get_running_loop()
    while (remaining := remaining_s(loop.time())) > 0:
        await asyncio.sleep(remaining)
