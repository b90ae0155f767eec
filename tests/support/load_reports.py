"""Fake endpoint that answers health checks with load reports."""

from __future__ import annotations

import asyncio

from support.network_fakes import EndpointScript, echo_lines

FIELDS = ("x0", "x1", "cpu")


def answers_health_checks(*answers: bytes) -> tuple[EndpointScript, list[bytes]]:
    """Return the script of an endpoint that serves clients and health checks, and the checks received.

    Each STATS line gets the next of ``answers``, which is written in parts that "|" separates. An empty
    answer aborts the connection.
    """
    seen: list[bytes] = []
    remaining = list(answers)

    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, line: bytes) -> None:
        if line.startswith(b"OPEN"):
            await echo_lines(reader, writer, line)
            return
        while line:
            seen.append(line)
            answer = remaining.pop(0) if remaining else b"PONG x0=0.1\r\n"
            if not answer:
                writer.transport.abort()
                return
            for part in answer.split(b"|"):
                writer.write(part)
                await asyncio.sleep(0.02)
            line = await reader.readline()

    return script, seen
