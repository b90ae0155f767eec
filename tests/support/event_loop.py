"""Helper that waits for a condition on a test's event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

POLL_INTERVAL_S = 0.002


async def until(condition: Callable[[], Any]) -> None:
    """Wait until ``condition()`` is true."""
    while not condition():
        await asyncio.sleep(POLL_INTERVAL_S)
