"""Runs a test's coroutines on an event loop, with a time limit."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

POLL_INTERVAL_S = 0.002


def run_with_timeout(coroutine: Coroutine[Any, Any, Any], timeout_s: float = 20.0) -> Any:
    """The result of ``coroutine``, in a loop of its own; TimeoutError if it takes too long."""
    return asyncio.run(asyncio.wait_for(coroutine, timeout_s))


async def until(condition: Callable[[], Any]) -> None:
    """Return once ``condition()`` is true."""
    while not condition():
        await asyncio.sleep(POLL_INTERVAL_S)
