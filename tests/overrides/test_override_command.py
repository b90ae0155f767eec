"""Command ``sageturn override`` against running relays."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from dataclasses import dataclass
from pathlib import Path

import pytest
from support.event_loop import until
from support.network_fakes import echo_lines
from support.override_relays import operator_names, replication_address, running_relays_with_overrides

from sageturn.relay import Relay


@dataclass(frozen=True)
class OverrideCommand:
    """Command ``sageturn override``, run in a separate process as operator ``lan``."""

    environment: dict[str, str]

    async def run(self, *arguments: str, exit_code: int = 0, **environment: str) -> str:
        """Run the command and return its standard output, or its standard error if ``exit_code`` is not 0.

        Fail on any other exit code.
        """
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "sageturn.cli.main",
            "override",
            *arguments,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
            env={**os.environ, **self.environment, **environment},
        )
        try:
            output, errors = await process.communicate()
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()
        assert process.returncode == exit_code, (arguments, output, errors)
        return (errors if exit_code else output).decode()

    async def set_out_of_service(self, endpoint: str, *options: str, exit_code: int = 0) -> str:
        return await self.run("set", "out", "--host", endpoint, *options, exit_code=exit_code)


def command_for(relay: Relay, folder: Path) -> OverrideCommand:
    return OverrideCommand(
        {
            "SAGETURN_CONNECT": replication_address(relay),
            "SAGETURN_OPERATOR": "lan",
            "SAGETURN_SECRET_FILE": str(folder / "secret"),
            "SAGETURN_KEY_FILE": str(folder / "key.pem"),
        }
    )


async def reload_public_key_of_lan(relays: list[Relay], folder: Path, public_key: str) -> None:
    """Replace the public key of operator ``lan`` at all relays, and wait until they have reloaded."""
    for number, relay in enumerate(relays):
        file = folder / f"r{number}" / "operator.json"
        content = json.loads(file.read_text())
        content["overrides"]["operators"]["lan"] = public_key
        file.write_text(json.dumps(content))
        relay.reload_requested.set()
    await until(lambda: all("lan" in operator_names(relay) for relay in relays))
    await until(lambda: all(not relay.reload_requested.is_set() for relay in relays))


async def create_configured_key(command: OverrideCommand, relays: list[Relay], folder: Path) -> None:
    """Create a key with the command, check that operations are rejected, and configure it at all relays."""
    public_key = (await command.run("key", str(folder / "key.pem"))).strip()
    assert (folder / "key.pem").stat().st_mode & 0o77 == 0
    await until(lambda: all(relay.store.get("state/n1/overrides") for relay in relays))
    rejection = await command.set_out_of_service("a", "--for", "2h30m", "--why", "disk", exit_code=1)
    assert "refuses it: signature" in rejection, "the name is checked, not taken on trust"
    await reload_public_key_of_lan(relays, folder, public_key)


@pytest.mark.timeout(40)
async def test_the_command_sets_shows_extends_and_revokes(tmp_path: Path) -> None:
    async with running_relays_with_overrides(
        tmp_path, echo_lines, echo_lines, echo_lines, relays=2, floor_all=0.5
    ) as (relays, _):
        command = command_for(relays[0], tmp_path)
        unreachable = asyncio.ensure_future(command.run("list", exit_code=3, SAGETURN_CONNECT="127.0.0.1:1"))
        await create_configured_key(command, relays, tmp_path)
        created = json.loads(
            await command.set_out_of_service("a", "--for", "2h30m", "--why", "disk is failing", "--json")
        )
        assert created["relays"] == {"n0": "in force", "n1": "in force"}
        assert all(relay.endpoint_registry.is_out_of_service("a") for relay in relays)
        limit_error = await command.set_out_of_service("b", "--for", "1h", "--why", "x", exit_code=1)
        assert "would leave 1.0 of 3.0" in limit_error and "--force" in limit_error
        rows = json.loads(await command.run("list", "--json"))
        (row,) = [row for row in rows if row["status"] == "in force"]
        assert row["set_by"] == "lan" and row["left"].startswith("2h") and row["why"] == "disk is failing"
        await command.run("extend", created["id"], "--for", "10m", "--why", "sooner")
        assert "about to end" in await command.run("list")
        assert "out of service" in await command.run("explain", "a")
        await command.run("revoke", created["id"], "--why", "mended")
        assert not any(relay.endpoint_registry.is_out_of_service("a") for relay in relays)
        history = [row["word"] for row in json.loads(await command.run("history", created["id"], "--json"))]
        assert history == ["set", "extend", "revoke"]
        expiry_beyond_maximum = ("--until", "2999-01-01T00:00:00")
        unknown, zoneless, _ = await asyncio.gather(
            command.run("show", "out-nope", exit_code=4),
            command.run("set", "hold", "--host", "a", *expiry_beyond_maximum, "--why", "x", exit_code=2),
            unreachable,
        )
        assert "no such override" in unknown and "has no zone" in zoneless
