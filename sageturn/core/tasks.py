"""Ending tasks for certain."""

from __future__ import annotations

import asyncio
from typing import Any


async def end_task(task: asyncio.Future[Any] | None) -> None:
    """Cancel and wait: what a task holds may only be used again once it has let go."""
    if task is None:
        return
    task.cancel()
    await asyncio.wait((task,))
    if not task.cancelled():
        task.exception()
