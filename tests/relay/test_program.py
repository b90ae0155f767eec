"""The real program, started as the platform starts it, and spoken to over sockets."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from typing import Any

from support.network_fakes import (
    Address,
    Discovery,
    FakeEndpoint,
    ask,
    chunked,
    first_line,
    free_port,
    listed,
    reply,
    served,
    until_ready,
    up,
    write_config,
)


@asynccontextmanager
async def program(
    folder: Path, environ: tuple[str, str] | None = None, log: Any = asyncio.subprocess.DEVNULL, **more: Any
) -> AsyncIterator[tuple[asyncio.subprocess.Process, Address]]:
    async with AsyncExitStack() as stack:
        endpoint = FakeEndpoint(up)
        await stack.enter_async_context(served(endpoint))
        discovery = Discovery(chunked(listed({"a": endpoint.address}, 2)))
        await stack.enter_async_context(served(discovery))
        address = ("127.0.0.1", free_port())
        known = listed({"a": endpoint.address})
        file = write_config(folder, discovery.address, known, listen=f"{address[0]}:{address[1]}", **more)
        also = {environ[0]: json.loads(file.read_text())[environ[1]]} if environ else {}
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "sageturn", env={**os.environ, "GW_CONFIG": str(file), **also}, stderr=log
        )
        try:
            async with asyncio.timeout(10):
                await until_ready(address)
            yield process, address
        finally:
            if process.returncode is None:
                process.kill()
            await process.wait()


def test_sigterm_answers_all_moves_all_and_ends_well(tmp_path: Path) -> None:
    # What is still held when SIGKILL comes, 3.7 s after SIGTERM at the earliest, is lost.
    async def go() -> None:
        async with program(tmp_path) as (process, address):
            clients = [await ask(address, first_line()) for _ in range(10)]
            for reader, _ in clients:
                assert await reader.readline() == b"UP r1\r\n"
            began = asyncio.get_running_loop().time()
            process.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.2)
            assert await reply(address, first_line()) == b"UP r1\r\n"  # new ones keep coming for a while
            for reader, writer in clients:
                assert await asyncio.wait_for(reader.read(), 4) == b"MOVE\r\n"
                writer.close()
            assert await process.wait() == 0
            assert asyncio.get_running_loop().time() - began < 3.6

    asyncio.run(asyncio.wait_for(go(), 30))


def test_out_of_descriptors_everyone_is_still_answered(tmp_path: Path) -> None:
    # A client left in the backlog has been taken by the machine, and would be lost.
    async def go() -> None:
        async with program(tmp_path, limits={"sockets": 40}) as (process, address):
            clients = [await ask(address, first_line(3000)) for _ in range(60)]
            words = [(await asyncio.wait_for(r.readline(), 5))[:4] for r, _ in clients]
            assert set(words) == {b"UP r", b"BUSY"} and process.returncode is None
            for _, writer in clients:
                writer.close()
            async with asyncio.timeout(5):
                while await reply(address, first_line()) != b"UP r1\r\n":
                    await asyncio.sleep(0.05)

    asyncio.run(asyncio.wait_for(go(), 30))


def start(folder: Path, change: dict[str, Any]) -> tuple[int, str]:
    async def go() -> tuple[int, str]:
        file = write_config(folder, ("127.0.0.1", 1), **change)
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "sageturn",
            env={**os.environ, "GW_CONFIG": str(file)},
            stderr=asyncio.subprocess.PIPE,
        )
        _, said = await asyncio.wait_for(process.communicate(), 10)
        return process.returncode or 0, said.decode()

    return asyncio.run(go())


def test_a_faulty_configuration_ends_the_program_and_names_its_key(tmp_path: Path) -> None:
    known = {"version": 1, "servers": [{"id": "a"}]}
    faults = (({"listen": "nowhere"}, "listen"), ({"known": known}, "known"), ({"seed": 1}, "seed"))
    for change, key in faults:
        code, said = start(tmp_path, change)
        assert code == 2 and said.startswith(f"sageturn: {key}") and said.count("\n") == 1
    assert json.loads((tmp_path / "config.json").read_text())["seed"] == 1


def test_sighup_moves_the_watch_and_a_faulty_file_changes_nothing(tmp_path: Path) -> None:
    # SIGHUP used to end the program (exit 129) and every connection with it. The environment names the old
    # discovery, as the platform's does: it must not hide what the file says since.
    async def go() -> None:
        async with AsyncExitStack() as stack:
            moved = Discovery(chunked(listed({"a": ("127.0.0.1", 9)}, 3)))
            await stack.enter_async_context(served(moved))
            log = stack.enter_context((tmp_path / "log").open("w+"))
            process, address = await stack.enter_async_context(
                program(tmp_path, environ=("GW_DISCOVERY", "discovery"), log=log)
            )
            file = tmp_path / "config.json"
            good = json.loads(file.read_text())
            reader, writer = await ask(address, first_line())
            assert await reader.readline() == b"UP r1\r\n"

            new = {**good, "discovery": f"{moved.address[0]}:{moved.address[1]}"}
            file.write_text(json.dumps({**new, "limits": {"sockets": -1}}))
            process.send_signal(signal.SIGHUP)
            while "limits.sockets" not in (tmp_path / "log").read_text():
                await asyncio.sleep(0.01)
            assert moved.asked == []  # checked whole before anything is switched

            file.write_text(json.dumps(new))
            for _ in range(5):
                process.send_signal(signal.SIGHUP)
            while not moved.asked:
                await asyncio.sleep(0.01)
            writer.write(b"M 1\r\n")
            assert await reader.readline() == b"M 1\r\n" and process.returncode is None
            process.send_signal(signal.SIGTERM)
            process.send_signal(signal.SIGHUP)
            assert await reader.read() == b"MOVE\r\n" and await process.wait() == 0
            writer.close()
            said = (tmp_path / "log").read_text()
            assert said.count(" ERROR ") == 1 and said.count("limits.sockets") == 1

    asyncio.run(asyncio.wait_for(go(), 30))


def test_a_relay_told_to_go_before_it_listens_ends_well_and_takes_nobody(tmp_path: Path) -> None:
    # The signal ended it as a fault does. It is pending here before the program has begun.
    async def go() -> None:
        file = write_config(tmp_path, ("127.0.0.1", 1), listed({}))
        code = (
            "import os, signal, sys; signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGTERM});"
            "os.kill(os.getpid(), signal.SIGTERM); from sageturn.__main__ import main;"
            "sys.argv = ['sageturn']; sys.exit(main())"
        )
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-c", code, env={**os.environ, "GW_CONFIG": str(file)}
        )
        assert await asyncio.wait_for(process.wait(), 10) == 0

    asyncio.run(go())
