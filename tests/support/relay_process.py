"""A relay in a process of its own, started as the platform starts it."""

from __future__ import annotations

import asyncio
import os
import sys
from collections.abc import AsyncIterator, Mapping, Sequence
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

from support.network_fakes import wait_until_ready
from support.ports import Address

READY_TIMEOUT_S = 10.0


@asynccontextmanager
async def running_relay_process(
    config_file: Path,
    address: Address,
    log: Any = asyncio.subprocess.DEVNULL,
    environment: Mapping[str, str] | None = None,
    arguments: Sequence[str] = (),
) -> AsyncIterator[asyncio.subprocess.Process]:
    """Run the program until the end of the context; kill it there if it has not exited.

    Args:
        config_file: the platform's configuration file.
        address: where the relay listens, which must answer a PING within ``READY_TIMEOUT_S``.
        log: the process's standard error.
        environment: variables besides ``GW_CONFIG`` that replace those of this process.
        arguments: the program's arguments.
    """
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "sageturn",
        *arguments,
        env={**os.environ, "GW_CONFIG": str(config_file), **(environment or {})},
        stderr=log,
    )
    try:
        async with asyncio.timeout(READY_TIMEOUT_S):
            await wait_until_ready(address)
        yield process
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()
