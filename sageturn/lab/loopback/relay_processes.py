"""Relay processes on loopback: their configuration, start, stop and published states."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from sageturn.lab.loopback.ports import reserve_port
from sageturn.lab.model.fleet_spec import FleetSpec, relay_settings
from sageturn.lab.model.planner_kind import PlannerKind
from sageturn.net.json_stream import JsonObject
from sageturn.rebalance.options import RebalanceMode
from sageturn.store.log import scan

READY_TIMEOUT_S = 15.0
READY_POLL_INTERVAL_S = 0.05
PONG_TIMEOUT_S = 2.0
RELAY_LIMITS = {"cores": 1.0, "memory_mb": 1024, "sockets": 16384}

OperatorSections = Callable[[int, Path], JsonObject]  # arguments: the relay and its folder


@dataclass(frozen=True, slots=True)
class RelayOptions:
    """Rebalancing options of all relays; ``sections`` returns further sections of an operator file."""

    planner: PlannerKind
    rebalance: JsonObject  # keys of the section ``rebalance`` of the operator file
    sections: OperatorSections | None = None


class LoopbackRelays:
    """Processes of a fleet's relays, each with its own folder."""

    def __init__(self, spec: FleetSpec, options: RelayOptions, folder: Path) -> None:
        self.processes: list[asyncio.subprocess.Process] = []
        self._spec = spec
        self._options = options
        self._folder = folder
        reserved = [reserve_port() for _ in range(spec.relays)]
        self._reserved_sockets = [reserved_socket for reserved_socket, _ in reserved]
        self.addresses = [("127.0.0.1", port) for _, port in reserved]

    async def start(self, discovery: tuple[str, int], endpoint_list: JsonObject) -> None:
        """Start all relays with a full endpoint list in their configuration, and wait until all are ready.

        Raises:
            TimeoutError: A relay is not ready within ``READY_TIMEOUT_S``.
        """
        for relay in range(self._spec.relays):
            folder = self._folder_of(relay)
            folder.mkdir()
            config = self._write_config(relay, discovery, endpoint_list)
            operator_file = self._write_operator_file(relay)
            await self._start_process(folder, config, operator_file)
        async with asyncio.timeout(READY_TIMEOUT_S):
            for address in self.addresses:
                while not await _is_ready(address):
                    await asyncio.sleep(READY_POLL_INTERVAL_S)

    async def stop(self) -> None:
        """Kill all relays."""
        for process in self.processes:
            if process.returncode is None:
                process.kill()
        for process in self.processes:
            await process.wait()

    def release_ports(self) -> None:
        """Close the sockets that reserve the relays' ports."""
        for reserved_socket in self._reserved_sockets:
            reserved_socket.close()

    def cpu_seconds(self) -> list[float]:
        """Return the processor time of each relay, in seconds."""
        return [_cpu_s(process.pid) for process in self.processes]

    def planner_states(self) -> list[JsonObject]:
        """Return the latest state that each relay's planner has published in the relay's store file."""
        return [self._planner_state(relay) for relay in range(self._spec.relays)]

    def _planner_state(self, relay: int) -> JsonObject:
        records, _ = scan((self._folder_of(relay) / "store").read_bytes())
        state: JsonObject = {}
        for record in records:
            if record.key == f"state/r{relay}/rebalance":
                state = record.value or {}
        return state

    def _folder_of(self, relay: int) -> Path:
        return self._folder / f"r{relay}"

    def _write_config(self, relay: int, discovery: tuple[str, int], endpoint_list: JsonObject) -> Path:
        file = self._folder_of(relay) / "config.json"
        config = {
            "name": f"r{relay}",
            "listen": "{}:{}".format(*self.addresses[relay]),
            "discovery": "{}:{}".format(*discovery),
            "seed": f"{self._spec.seed}{relay:02x}",
            "limits": RELAY_LIMITS,
            "known": endpoint_list,
            "settings": relay_settings(self._spec, relay),
        }
        file.write_text(json.dumps(config))
        return file

    def _write_operator_file(self, relay: int) -> Path:
        folder = self._folder_of(relay)
        sections: JsonObject = {"store": {"path": "store"}}
        # The section is validated strictly, so it is omitted for relays without a planner.
        if self._options.planner is not PlannerKind.OFF:
            sections["rebalance"] = {"mode": RebalanceMode.ON, **self._options.rebalance}
        if self._options.sections is not None:
            sections |= self._options.sections(relay, folder)
        file = folder / "operator.json"
        file.write_text(json.dumps(sections))
        return file

    async def _start_process(self, folder: Path, config: Path, operator_file: Path) -> None:
        is_naive = self._options.planner is PlannerKind.NAIVE
        module = "sageturn.lab.loopback.naive_relay" if is_naive else "sageturn"
        environment = {name: value for name, value in os.environ.items() if not name.startswith("GW_")}
        with (folder / "log").open("wb") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                module,
                "--operator",
                str(operator_file),
                env={**environment, "GW_CONFIG": str(config)},
                stderr=log,
                stdout=log,
            )
        self.processes.append(process)


def _cpu_s(pid: int) -> float:
    """Return the user and system time of a process, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    user_ticks = int(fields[11])
    system_ticks = int(fields[12])
    return (user_ticks + system_ticks) / os.sysconf("SC_CLK_TCK")


async def _is_ready(address: tuple[str, int]) -> bool:
    """Return True if the relay answers PING."""
    try:
        reader, writer = await asyncio.open_connection(*address)
    except OSError:
        return False
    try:
        writer.write(b"PING\r\n")
        return await asyncio.wait_for(reader.readline(), PONG_TIMEOUT_S) == b"PONG\r\n"
    except (TimeoutError, OSError):
        return False
    finally:
        writer.close()
