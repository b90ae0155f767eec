"""Reloads of files that temporarily cannot be read, or are invalid."""

from __future__ import annotations

import asyncio
import errno
import json
from collections.abc import Iterable
from functools import partial
from itertools import repeat
from pathlib import Path

import pytest
from support.event_loop import until
from support.failing_calls import FailingCall
from support.network_fakes import write_config

from sageturn.config.loader import load
from sageturn.relay import Relay

OLD_LIMIT = 512
NEW_LIMIT = 640


def write_limits(folder: Path, sockets: int) -> Path:
    return write_config(folder, ("127.0.0.1", 9), limits={"sockets": sockets, "memory_mb": 256})


async def reload_while_reads_fail(
    folder: Path, monkeypatch: pytest.MonkeyPatch, errors: Iterable[int]
) -> int:
    """Return the limit in force 30 s after a reload whose first reads failed with ``errors``."""
    environment = {"GW_CONFIG": str(write_limits(folder, OLD_LIMIT))}
    relay = Relay(load(environment), partial(load, environment, None))
    relay.start()
    write_limits(folder, NEW_LIMIT)
    with monkeypatch.context() as patched:
        failing = FailingCall(Path, "read_text", errors)
        failing.install(patched)
        relay.reload_requested.set()
        await until(lambda: failing.failures)
        await asyncio.sleep(30.0)
    limit = relay.config.limits.sockets
    await relay.stop()
    return limit


@pytest.mark.virtual_time_limit(600)
@pytest.mark.usefixtures("virtual_time")
async def test_a_reload_retries_files_that_temporarily_cannot_be_read(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The first failed read once ended the reload: the old configuration stayed in force for good, with it
    # discovery's old address, although the new configuration was valid.
    monkeypatch.setattr("sageturn.relay.ingress.set_descriptor_limit", lambda max_descriptors: None)
    reload_with = partial(reload_while_reads_fail, tmp_path, monkeypatch)
    for number in (errno.ENFILE, errno.EMFILE, errno.EIO):
        assert await reload_with(repeat(number, 3)) == NEW_LIMIT, errno.errorcode[number]
        assert await reload_with(repeat(number)) == OLD_LIMIT
    assert await reload_with([errno.EACCES]) == OLD_LIMIT  # a permanent error is not retried


@pytest.mark.usefixtures("virtual_time")
async def test_an_invalid_file_is_not_read_again(tmp_path: Path) -> None:
    file = write_limits(tmp_path, OLD_LIMIT)
    environment = {"GW_CONFIG": str(file)}
    relay = Relay(load(environment), partial(load, environment, None))
    relay.start()
    content = json.loads(file.read_text())
    file.write_text(json.dumps({**content, "limits": {"sockets": "many"}}))
    relay.reload_requested.set()
    await asyncio.sleep(1.0)
    write_limits(tmp_path, NEW_LIMIT)  # no reload of this file is requested
    await asyncio.sleep(30.0)
    assert relay.config.limits.sockets == OLD_LIMIT
    await relay.stop()
