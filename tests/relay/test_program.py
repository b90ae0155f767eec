"""The program in its own process, started as the platform starts it, and tested over sockets."""

from __future__ import annotations

import asyncio
import fcntl
import json
import os
import re
import signal
import sys
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from pathlib import Path
from typing import Any

import pytest
from support.network_fakes import (
    FakeDiscovery,
    FakeEndpoint,
    echo_lines,
    encode_request_line,
    encode_watch_response,
    exchange_line,
    make_endpoint_list,
    running_server,
    send_request,
    write_config,
)
from support.ports import Address, find_free_port
from support.relay_process import running_relay_process


@asynccontextmanager
async def running_program(
    folder: Path,
    variable_and_key: tuple[str, str] | None = None,
    log: Any = asyncio.subprocess.DEVNULL,
    **config_fields: Any,
) -> AsyncIterator[tuple[asyncio.subprocess.Process, Address]]:
    async with AsyncExitStack() as stack:
        endpoint = FakeEndpoint(echo_lines)
        await stack.enter_async_context(running_server(endpoint))
        discovery = FakeDiscovery(encode_watch_response(make_endpoint_list({"a": endpoint.address}, 2)))
        await stack.enter_async_context(running_server(discovery))
        address = ("127.0.0.1", find_free_port())
        known = make_endpoint_list({"a": endpoint.address})
        file = write_config(
            folder, discovery.address, known, listen=f"{address[0]}:{address[1]}", **config_fields
        )
        environment = {}
        if variable_and_key is not None:
            variable, key = variable_and_key
            environment[variable] = json.loads(file.read_text())[key]
        async with running_relay_process(file, address, log, environment) as process:
            yield process, address


@pytest.mark.timeout(30)
async def test_sigterm_answers_and_migrates_all_clients_and_exits_with_0(tmp_path: Path) -> None:
    # SIGKILL arrives 3.7 s after SIGTERM at the earliest, and cuts off the connections that remain.
    async with running_program(tmp_path) as (process, address):
        clients = [await send_request(address, encode_request_line()) for _ in range(10)]
        for reader, _ in clients:
            assert await reader.readline() == b"UP r1\r\n"
        began_s = asyncio.get_running_loop().time()
        process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.2)
        # New clients are still served for a while.
        assert await exchange_line(address, encode_request_line()) == b"UP r1\r\n"
        for reader, writer in clients:
            assert await asyncio.wait_for(reader.read(), 4) == b"MOVE\r\n"
            writer.close()
        assert await process.wait() == 0
        assert asyncio.get_running_loop().time() - began_s < 3.6


@pytest.mark.parametrize("repeated_signal", [signal.SIGTERM, signal.SIGHUP])
@pytest.mark.timeout(30)
async def test_a_signal_in_the_last_moments_of_the_process_does_not_change_its_exit_code(
    tmp_path: Path, repeated_signal: signal.Signals
) -> None:
    async with running_program(tmp_path) as (process, _):
        process.send_signal(signal.SIGTERM)
        while process.returncode is None:
            # ``send_signal`` would reap the process, and asyncio would then report 255.
            with suppress(ProcessLookupError):
                os.kill(process.pid, repeated_signal)
            await asyncio.sleep(0.001)
        assert process.returncode == 0


@pytest.mark.timeout(30)
async def test_every_client_is_answered_when_descriptors_run_out(tmp_path: Path) -> None:
    # The kernel has accepted the clients in the backlog: one that was left there would get no answer.
    async with running_program(tmp_path, limits={"sockets": 40}) as (process, address):
        clients = [await send_request(address, encode_request_line(3000)) for _ in range(60)]
        answers = [(await asyncio.wait_for(reader.readline(), 5))[:4] for reader, _ in clients]
        assert set(answers) == {b"UP r", b"BUSY"} and process.returncode is None
        for _, writer in clients:
            writer.close()
        async with asyncio.timeout(5):
            while await exchange_line(address, encode_request_line()) != b"UP r1\r\n":
                await asyncio.sleep(0.05)


async def run_until_exit(folder: Path, change: dict[str, Any]) -> tuple[int, str]:
    """Run the program with changed configuration keys; return its exit code and its output on stderr."""
    file = write_config(folder, ("127.0.0.1", 1), **change)
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "sageturn",
        env={**os.environ, "GW_CONFIG": str(file)},
        stderr=asyncio.subprocess.PIPE,
    )
    _, errors = await asyncio.wait_for(process.communicate(), 10)
    return process.returncode or 0, errors.decode()


@pytest.mark.timeout(30)  # 10 s for each of three processes
async def test_invalid_configuration_ends_the_program_and_names_its_key(tmp_path: Path) -> None:
    known = {"version": 1, "servers": [{"id": "a"}]}
    faults = (({"listen": "nowhere"}, "listen"), ({"known": known}, "known"), ({"seed": 1}, "seed"))
    for change, key in faults:
        code, errors = await run_until_exit(tmp_path, change)
        assert code == 2
        assert errors.startswith(f"sageturn: {key}") and errors.count("\n") == 1
    assert json.loads((tmp_path / "config.json").read_text())["seed"] == 1


@pytest.mark.timeout(30)
async def test_sighup_moves_the_watch_and_an_invalid_file_changes_nothing(tmp_path: Path) -> None:
    # SIGHUP once ended the program (exit code 129) and cut off all connections. The environment names the old
    # address of discovery, as on the platform, and must not override the new one in the file.
    async with AsyncExitStack() as stack:
        new_discovery = FakeDiscovery(encode_watch_response(make_endpoint_list({"a": ("127.0.0.1", 9)}, 3)))
        await stack.enter_async_context(running_server(new_discovery))
        log = stack.enter_context((tmp_path / "log").open("w+"))
        process, address = await stack.enter_async_context(
            running_program(tmp_path, variable_and_key=("GW_DISCOVERY", "discovery"), log=log)
        )
        file = tmp_path / "config.json"
        good = json.loads(file.read_text())
        reader, writer = await send_request(address, encode_request_line())
        assert await reader.readline() == b"UP r1\r\n"

        new = {**good, "discovery": f"{new_discovery.address[0]}:{new_discovery.address[1]}"}
        file.write_text(json.dumps({**new, "limits": {"sockets": -1}}))
        process.send_signal(signal.SIGHUP)
        while "limits.sockets" not in (tmp_path / "log").read_text():
            await asyncio.sleep(0.01)
        assert new_discovery.requests == []  # the whole file is validated before any of it is applied

        file.write_text(json.dumps(new))
        for _ in range(5):
            process.send_signal(signal.SIGHUP)
        while not new_discovery.requests:
            await asyncio.sleep(0.01)
        writer.write(b"M 1\r\n")
        assert await reader.readline() == b"M 1\r\n" and process.returncode is None
        process.send_signal(signal.SIGTERM)
        process.send_signal(signal.SIGHUP)
        assert await reader.read() == b"MOVE\r\n" and await process.wait() == 0
        writer.close()
        log_text = (tmp_path / "log").read_text()
        assert log_text.count(" ERROR ") == 1 and log_text.count("limits.sockets") == 1


async def test_sigterm_before_the_relay_listens_exits_with_0(tmp_path: Path) -> None:
    # The signal once ended the program with an error. In this test it is pending before the program starts.
    file = write_config(tmp_path, ("127.0.0.1", 1), make_endpoint_list({}))
    code = (
        "import os, signal, sys; signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGTERM});"
        "os.kill(os.getpid(), signal.SIGTERM); from sageturn.__main__ import main;"
        "sys.argv = ['sageturn']; sys.exit(main())"
    )
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-c", code, env={**os.environ, "GW_CONFIG": str(file)}
    )
    assert await asyncio.wait_for(process.wait(), 10) == 0


async def test_a_stalled_reader_of_the_log_does_not_block_the_relay(tmp_path: Path) -> None:
    # The reader of the pipe had stalled: the relay blocked in the write of a log line, and served no client.
    read_end, write_end = os.pipe()
    capacity = fcntl.fcntl(write_end, fcntl.F_GETPIPE_SZ)
    os.write(write_end, b"x" * capacity)
    async with running_program(tmp_path, log=write_end) as (_, address):
        os.close(write_end)
        for _ in range(3):
            assert await exchange_line(address, encode_request_line()) == b"UP r1\r\n"
        assert os.read(read_end, capacity) == b"x" * capacity
        os.set_blocking(read_end, False)
        written = b""
        while b"log lines dropped" not in written:
            assert await exchange_line(address, encode_request_line()) == b"UP r1\r\n"
            with suppress(BlockingIOError):
                written += os.read(read_end, capacity)
        assert re.search(rb"WARNING [a-z_.]+: log lines dropped count=[1-9][0-9]*\n", written)
    os.close(read_end)
