"""Run of one plan: starts all processes and clients, injects the faults, and collects the evidence."""

from __future__ import annotations

import asyncio
import sys
import time
from contextlib import suppress
from pathlib import Path

import msgspec
from msgspec.structs import replace

from sageturn.core.tasks import cancel_and_wait
from sageturn.lab.loopback.ports import reserve_port
from sageturn.lab.soak.auditor import Auditor, Rule, Violation
from sageturn.lab.soak.clients import ClientPopulation
from sageturn.lab.soak.discovery import SoakDiscovery
from sageturn.lab.soak.plan import DURATION_S, SoakPlan
from sageturn.lab.soak.records import AttemptRecord, Evidence
from sageturn.lab.soak.relays import RelayFaultInjector, SoakRelay
from sageturn.store.errors import LogCorruptedError
from sageturn.store.store import Store

START_TIME_S = 8.0  # time in which all processes become ready before the run's start
TRAFFIC_END_S = DURATION_S - 2.0
HOST_TIMEOUT_S = 30.0  # time in which a host process has to exit by itself
MAX_LOG_ERRORS = 20  # limit of reported log errors of one relay process
ERROR_MARKERS = (" ERROR ", "Traceback ", " CRITICAL ")
# Plans include reloads of invalid configurations, which a relay rejects with this error.
EXPECTED_ERRORS = ("configuration rejected, the old one stays in force",)


class SoakRun:
    """One run of one plan, in a folder of its own."""

    def __init__(self, plan: SoakPlan, folder: Path) -> None:
        self.plan = plan
        self.evidence = Evidence()
        self._folder = folder
        self._plan_file = folder / "plan.json"
        self._reserved_ports = [
            reserve_port()
            for _ in {(incarnation.name, incarnation.host) for incarnation in self.plan.incarnations}
        ]
        self._relays: list[SoakRelay] = []
        self._host_processes: list[asyncio.subprocess.Process] = []

    async def execute(self) -> list[Violation]:
        """Run the plan to its end, and return the violations; ``evidence`` has the records."""
        self._assign_ports()
        self.plan.started_s = time.monotonic() + START_TIME_S
        self._folder.mkdir(parents=True, exist_ok=True)
        self._plan_file.write_bytes(msgspec.json.encode(self.plan))
        plan = self.plan
        self._relays = [
            SoakRelay(number, self._folder / f"r{number}", plan, self._plan_file)
            for number in range(plan.size.relays)
        ]
        discovery = SoakDiscovery(plan, lambda relay: self._relays[relay].record.process)
        try:
            await discovery.start()
            await self._start_host_processes()
            await self._run_with_discovery(discovery)
        finally:
            discovery.stop()
            await self._kill_all()
        self._collect_evidence(discovery)
        return Auditor(plan, self.evidence).find_violations() + self._check_stores()

    async def _run_with_discovery(self, discovery: SoakDiscovery) -> None:
        def write_config(relay: SoakRelay, address: int) -> None:
            relay.write_config(discovery.addresses[relay.number][address], discovery.current_list())

        for relay in self._relays:
            write_config(relay, 0)
        await asyncio.gather(*(relay.start() for relay in self._relays))
        publish_task = asyncio.ensure_future(discovery.run())
        clients = ClientPopulation(self.plan, self._relays)
        self.evidence.clients = clients.records
        clients.start_adopted()
        await asyncio.sleep(max(0.0, self.plan.started_s - time.monotonic()))
        try:
            faults = RelayFaultInjector(self.plan, self._relays, write_config)
            await asyncio.gather(clients.run(TRAFFIC_END_S), faults.run())
            await asyncio.gather(*(self._terminate(relay) for relay in self._relays))
            await clients.wait_until_ended()
        finally:
            await cancel_and_wait(publish_task)

    @staticmethod
    async def _terminate(relay: SoakRelay) -> None:
        with suppress(ProcessLookupError):  # the process has exited by itself; its record shows that
            await relay.terminate()

    def _assign_ports(self) -> None:
        ports: dict[str, int] = {}
        unused = [port for _, port in self._reserved_ports]
        for number, incarnation in enumerate(self.plan.incarnations):
            if incarnation.name not in ports:
                ports[incarnation.name] = unused.pop()
            self.plan.incarnations[number] = replace(incarnation, port=ports[incarnation.name])

    async def _start_host_processes(self) -> None:
        for host in range(self.plan.size.hosts):
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "sageturn.lab.soak.endpoint_host",
                str(self._plan_file),
                str(host),
                str(self._folder / f"host-{host}.json"),
            )
            self._host_processes.append(process)

    async def _kill_all(self) -> None:
        for process in self._host_processes:
            with suppress(TimeoutError):
                await asyncio.wait_for(process.wait(), HOST_TIMEOUT_S)
            if process.returncode is None:
                process.kill()
                await process.wait()
        for relay in self._relays:
            if relay.records:
                relay.record_unsignalled_exit()
            with suppress(ProcessLookupError, IndexError):
                await relay.kill()
            relay.release_port()
        for reserved, _ in self._reserved_ports:
            reserved.close()

    def _collect_evidence(self, discovery: SoakDiscovery) -> None:
        self.evidence.notifications = discovery.notifications
        for host in range(self.plan.size.hosts):
            data = (self._folder / f"host-{host}.json").read_bytes()
            self.evidence.attempts += msgspec.json.decode(data, type=list[AttemptRecord])
        for relay in self._relays:
            for number, record in enumerate(relay.records):
                record.log_errors = _log_errors(relay.folder / f"log-{number}")
            self.evidence.relays += relay.records
        (self._folder / "evidence.json").write_bytes(msgspec.json.encode(self.evidence))

    def _check_stores(self) -> list[Violation]:
        """Check that each store's log can be read after the run."""
        violations = []
        for relay in self._relays:
            path = relay.folder / "store"
            if not path.exists():
                continue
            try:
                store = Store("auditor", path)
                store.close()
            except (OSError, LogCorruptedError) as error:
                violations.append(Violation(Rule.STORE, f"relay {relay.number}", str(error)))
        return violations


def _log_errors(log: Path) -> list[str]:
    lines = log.read_text(errors="replace").splitlines()
    errors = [line for line in lines if any(marker in line for marker in ERROR_MARKERS)]
    errors += [line for line in lines if line.startswith(("Exception", "sageturn:"))]
    return [line for line in errors if not any(text in line for text in EXPECTED_ERRORS)][:MAX_LOG_ERRORS]
