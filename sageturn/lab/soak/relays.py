"""Relay processes of the soak test, started, signalled and restarted according to the plan."""

from __future__ import annotations

import asyncio
import json
import os
import resource
import signal
import sys
import time
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

from sageturn.lab.loopback.ports import reserve_port
from sageturn.lab.soak.plan import (
    FaultKind,
    ScheduledFault,
    SignalSeries,
    SoakPlan,
    relay_settings,
)
from sageturn.lab.soak.records import RelayRecord
from sageturn.net.json_stream import JsonObject

READY_TIMEOUT_S = 20.0
READY_POLL_S = 0.03
FRONTEND_DELAY_S = 0.3  # time past SIGTERM in which the platform's load balancer still sends clients
REPEATED_SIGNAL_DELAY_S = 0.4  # time between two SIGTERM
SERIES_RELOAD_COUNT = 4
SERIES_RELOAD_INTERVAL_S = 0.01
MAX_DESCRIPTORS = 512
MIN_SIGNAL_AGE_S = 0.15  # age of a process at which its interpreter handles signals
# The same shell as in `run` of the deploy file: it ignores SIGHUP until the program installs its handler.
START_SHELL = ("/bin/sh", "-c", "trap '' HUP; exec \"$@\"", "sh")
MIN_DESCRIPTORS = 32  # the lowest limit that the settings allow
DESCRIPTOR_HEADROOM = 3  # difference between a lowered limit and the number of open descriptors
BAD_CONFIGURATIONS = ("", "{", '{"name": 5}', '{"name":"x","listen":"nowhere"}', "[]")


class SoakRelay:
    """One relay across the restarts of its process."""

    def __init__(self, number: int, folder: Path, plan: SoakPlan, plan_file: Path) -> None:
        self.number = number
        self.folder = folder
        self.records: list[RelayRecord] = []
        self.is_in_rotation = False  # True if the platform's load balancer would send clients to the relay
        self.lifecycle_lock = asyncio.Lock()  # locked while the process is replaced
        self._plan = plan
        self._plan_file = plan_file
        self._process: asyncio.subprocess.Process | None = None
        self._reserved_socket, port = reserve_port()
        self.address = ("127.0.0.1", port)
        folder.mkdir(parents=True)
        # Every other relay has a store on disk; the others have the platform's defaults, without one.
        operator = {"store": {"path": "store"}} if number % 2 else {}
        (folder / "operator.json").write_text(json.dumps(operator))

    @property
    def record(self) -> RelayRecord:
        """Record of the latest process."""
        return self.records[-1]

    @property
    def age_s(self) -> float:
        """Seconds since the start of the latest process."""
        return time.monotonic() - self.record.started_s

    @property
    def config_file(self) -> Path:
        """Path of the configuration file, which ``GW_CONFIG`` names."""
        return self.folder / "config.json"

    def write_config(self, discovery: tuple[str, int], endpoint_list: JsonObject) -> None:
        """Write the relay's configuration file, as the platform does."""
        config = {
            "name": f"r{self.number}",
            "listen": "{}:{}".format(*self.address),
            "discovery": "{}:{}".format(*discovery),
            "seed": f"{self._plan.seed:x}{self.number:02x}",
            "limits": {"sockets": MAX_DESCRIPTORS, "memory_mb": 256},
            "known": endpoint_list,
            "settings": relay_settings(self._plan, self.number),
        }
        self.config_file.write_text(json.dumps(config))

    async def start(self) -> None:
        """Start a process, and put the relay into rotation once it answers PING."""
        environment = {name: value for name, value in os.environ.items() if not name.startswith("GW_")}
        arguments = [str(self.number), str(self._plan_file), "--operator", str(self.folder / "operator.json")]
        with (self.folder / f"log-{len(self.records)}").open("wb") as log:
            self._process = await asyncio.create_subprocess_exec(
                *START_SHELL,
                sys.executable,
                "-m",
                "sageturn.lab.soak.shimmed_relay",
                *arguments,
                env={**environment, "GW_CONFIG": str(self.config_file)},
                stderr=log,
            )
        self.records.append(RelayRecord(self.number, self._process.pid, time.monotonic()))
        ready_by_s = time.monotonic() + READY_TIMEOUT_S
        while self._process.returncode is None and time.monotonic() < ready_by_s:
            if await self._is_ping_answered():
                self.record.ready_s = time.monotonic()
                self.is_in_rotation = True
                return
            await asyncio.sleep(READY_POLL_S)

    async def _is_ping_answered(self) -> bool:
        with suppress(OSError, TimeoutError):
            reader, writer = await asyncio.open_connection(*self.address)
            try:
                writer.write(b"PING\r\n")
                return await asyncio.wait_for(reader.readline(), 1.0) == b"PONG\r\n"
            finally:
                writer.close()
        return False

    async def terminate(self, *, is_repeated: bool = False) -> None:
        """Send SIGTERM, and wait for the process to exit; kill it at the platform's earliest SIGKILL.

        With ``is_repeated`` the signal is sent a second time during the drain.
        """
        process, record = self._running_process()
        record.terminated_s = time.monotonic()
        process.send_signal(signal.SIGTERM)
        await asyncio.sleep(FRONTEND_DELAY_S)
        self.is_in_rotation = False
        if is_repeated:
            await asyncio.sleep(REPEATED_SIGNAL_DELAY_S - FRONTEND_DELAY_S)
            # ``send_signal`` could reap the process, and asyncio would then report exit code 255.
            with suppress(ProcessLookupError):
                os.kill(process.pid, signal.SIGTERM)
        try:
            async with asyncio.timeout(record.terminated_s + self._plan.kill_after_s - time.monotonic()):
                await process.wait()
        except TimeoutError:
            process.kill()
        await self._record_exit(process, record)

    async def kill(self) -> None:
        """Send SIGKILL, and take the relay out of rotation."""
        process, record = self._running_process()
        record.killed_s = time.monotonic()
        process.kill()
        self.is_in_rotation = False
        await self._record_exit(process, record)

    async def _record_exit(self, process: asyncio.subprocess.Process, record: RelayRecord) -> None:
        record.exit_code = await process.wait()
        record.exited_s = time.monotonic()

    def reload(self, content: str) -> None:
        """Write the configuration file, and send SIGHUP."""
        self.config_file.write_text(content)
        self._running_process()[0].send_signal(signal.SIGHUP)

    async def suspend(self, duration_s: float) -> None:
        """Suspend the process for ``duration_s``."""
        process, _ = self._running_process()
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(duration_s)
        with suppress(ProcessLookupError):
            process.send_signal(signal.SIGCONT)

    async def lower_descriptor_limit(self, duration_s: float) -> None:
        """Lower the process's descriptor limit to a few more than it has open, for ``duration_s``."""
        process, _ = self._running_process()
        limits = resource.prlimit(process.pid, resource.RLIMIT_NOFILE)
        lowered = max(MIN_DESCRIPTORS, self.count_descriptors() + DESCRIPTOR_HEADROOM)
        resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (lowered, limits[1]))
        await asyncio.sleep(duration_s)
        with suppress(ProcessLookupError):
            resource.prlimit(process.pid, resource.RLIMIT_NOFILE, limits)

    def count_descriptors(self) -> int:
        """Return the number of descriptors that the process has open."""
        return len(list(Path(f"/proc/{self.record.process}/fd").iterdir()))

    def _running_process(self) -> tuple[asyncio.subprocess.Process, RelayRecord]:
        if self._process is None or self._process.returncode is not None:
            raise ProcessLookupError(f"relay {self.number} has no running process")
        return self._process, self.record

    def record_unsignalled_exit(self) -> None:
        """Record the exit code of a process that has exited without a signal from the run."""
        if self._process is not None and self.record.exit_code is None:
            self.record.exit_code = self._process.returncode

    def release_port(self) -> None:
        """Release the relay's port."""
        self._reserved_socket.close()


class RelayFaultInjector:
    """Injector of the plan's relay faults.

    ``write_config`` takes a relay and the index of one of its discovery addresses, and writes the relay's
    configuration file with that address.
    """

    def __init__(
        self, plan: SoakPlan, relays: list[SoakRelay], write_config: Callable[[SoakRelay, int], None]
    ) -> None:
        self._plan = plan
        self._relays = relays
        self._write_config = write_config

    async def run(self) -> None:
        """Inject all faults; return once they are over and all relays run again."""
        faults = [fault for fault in self._plan.faults if fault.kind.value.startswith("relay_")]
        await asyncio.gather(*(self._run_fault(fault) for fault in faults))

    async def _run_fault(self, fault: ScheduledFault) -> None:
        await asyncio.sleep(max(0.0, self._plan.started_s + fault.begin_s - time.monotonic()))
        relay = self._relays[fault.target]
        # The relay has no process while another fault restarts it.
        with suppress(ProcessLookupError):
            await self._inject(fault, relay)

    async def _inject(self, fault: ScheduledFault, relay: SoakRelay) -> None:
        length_s = fault.end_s - fault.begin_s
        match fault.kind:
            case FaultKind.RELAY_RESTART:
                async with relay.lifecycle_lock:
                    await relay.terminate()
                    await self._start(relay)
            case FaultKind.RELAY_KILL:
                async with relay.lifecycle_lock:
                    await relay.kill()
                    await self._start(relay)
            case FaultKind.RELAY_RELOAD if relay.age_s > MIN_SIGNAL_AGE_S:
                self._write_config(relay, 1)
                relay.reload(relay.config_file.read_text())
            # A process that is still starting would exit because of an invalid file.
            case FaultKind.RELAY_BAD_RELOAD if relay.record.ready_s and not relay.lifecycle_lock.locked():
                valid_config = relay.config_file.read_text()
                relay.reload(BAD_CONFIGURATIONS[fault.target % len(BAD_CONFIGURATIONS)])
                await asyncio.sleep(length_s)
                relay.reload(valid_config)
            case FaultKind.RELAY_SIGNALS if relay.age_s > MIN_SIGNAL_AGE_S:
                await self._send_series(SignalSeries(fault.mode), relay)
            case FaultKind.RELAY_HOLD:
                await relay.suspend(length_s)
            case FaultKind.RELAY_DESCRIPTORS:
                await relay.lower_descriptor_limit(length_s)

    async def _send_series(self, series: SignalSeries, relay: SoakRelay) -> None:
        async with relay.lifecycle_lock:
            if relay.age_s < MIN_SIGNAL_AGE_S:  # another fault has just restarted the relay
                return
            if series is not SignalSeries.STOP_TWICE:
                count = SERIES_RELOAD_COUNT if series is SignalSeries.RELOADS else 1
                for _ in range(count):
                    self._write_config(relay, 1)
                    relay.reload(relay.config_file.read_text())
                    await asyncio.sleep(SERIES_RELOAD_INTERVAL_S)
            if series is not SignalSeries.RELOADS:
                await relay.terminate(is_repeated=series is SignalSeries.STOP_TWICE)
                await self._start(relay)

    async def _start(self, relay: SoakRelay) -> None:
        self._write_config(relay, 0)
        await relay.start()
