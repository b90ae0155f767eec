"""Ending tasks for certain, and waiting for a time that may move on meanwhile."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any


async def cancel_and_wait(task: asyncio.Future[Any] | None) -> None:
    """Cancel and wait: what a task holds may only be used again once it has let go."""
    if task is None:
        return
    task.cancel()
    await asyncio.wait((task,))
    if not task.cancelled():
        task.exception()


async def sleep_until_elapsed(left_s: Callable[[float], float]) -> None:
    """Returns once ``left_s`` of the loop's time is 0 or less; asked again each time that it said is over."""
    loop = asyncio.get_running_loop()
    while (left := left_s(loop.time())) > 0:
        await asyncio.sleep(left)
