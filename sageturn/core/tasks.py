"""Helpers that cancel tasks reliably, and wait for an event or for a deadline that may move."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress
from typing import Any


async def cancel_and_wait(task: asyncio.Future[Any] | None) -> None:
    """Cancel the task, if there is one, and wait until it has ended and so released its resources.

    The task's exception, if any, is retrieved and dropped.
    """
    if task is None:
        return
    task.cancel()
    await asyncio.wait((task,))
    if not task.cancelled():
        task.exception()


async def wait_for_event(event: asyncio.Event, timeout_s: float) -> None:
    """Wait until the event is set, but no longer than ``timeout_s`` seconds."""
    with suppress(TimeoutError):
        async with asyncio.timeout(timeout_s):
            await event.wait()


async def sleep_until_elapsed(remaining_s: Callable[[float], float]) -> None:
    """Sleep until ``remaining_s``, called with the loop's time before each sleep, returns 0 or less."""
    loop = asyncio.get_running_loop()
    while (remaining := remaining_s(loop.time())) > 0:
        await asyncio.sleep(remaining)
