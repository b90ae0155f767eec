"""An endpoint that answers health checks with load reports."""

from __future__ import annotations

import asyncio

from support.network_fakes import Script, up

FIELDS = ("x0", "x1", "cpu")


def probed_by(*words: bytes) -> tuple[Script, list[bytes]]:
    """An endpoint that answers each STATS on a connection by the next of ``words``; clients stand there."""
    seen: list[bytes] = []
    left = list(words)

    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, line: bytes) -> None:
        if line.startswith(b"OPEN"):
            await up(reader, writer, line)
            return
        while line:
            seen.append(line)
            word = left.pop(0) if left else b"PONG x0=0.1\r\n"
            if not word:
                writer.transport.abort()
                return
            for part in word.split(b"|"):
                writer.write(part)
                await asyncio.sleep(0.02)
            line = await reader.readline()

    return script, seen
