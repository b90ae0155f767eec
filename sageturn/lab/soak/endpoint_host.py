"""Host process of the soak test, which runs several endpoints of the plan and records the relays' attempts.

Its arguments are the plan's file, the host's index and the file for the records.
"""

from __future__ import annotations

import asyncio
import socket
import sys
import time
from pathlib import Path
from random import Random

import msgspec
import uvloop

from sageturn.lab.loopback.fakes import LOOPBACK, LineProtocol, parse_open_request
from sageturn.lab.soak.plan import (
    DURATION_S,
    NEVER_S,
    EndpointIncarnation,
    EndpointMode,
    FaultKind,
    ScheduledFault,
    SoakPlan,
)
from sageturn.lab.soak.records import AttemptRecord

SETUP_RANGE_S = (0.002, 0.03)  # minimum and maximum time from a request to its answer
MAX_SLOW_SETUP_S = 1.0  # maximum time to the answer in the mode SLOW
MAX_OVERRUN_S = 6.0  # time past the run's end in which the remaining connections end
MIGRATION_SPREAD_S = 1.5  # period in which a draining endpoint asks its clients to reconnect
HEALTH_CHECK = b"STATS"
LOAD_REPORT_ANSWERS = (
    b"PONG x0=0.4,x1=0.01\r\n",
    b"PONG x0=0.9,x1=0.4\r\n",
    b"PONG x0=nan,x1=-1\r\n",
    b"PONG\r\n",
    b"NO\r\n",
    b"x0=0.5\r\n",
)
# Modes for the first attempt of a client whose connection was open before its relay started.
ADOPTION_MODES = (
    None,
    None,
    None,
    EndpointMode.HANG,
    EndpointMode.RESET,
    EndpointMode.GARBLE,
    EndpointMode.BUSY,
)
PARTIAL_ANSWER = b"UP r"
PARTIAL_ANSWER_RATIO = 0.5  # ratio of hanging adoptions whose answer begins and never ends
LOAD_LINES = (b"LOAD 2000\r\n", b"LOAD nan\r\n", b"LOAD -1\r\n", b"LOAD 9000\r\n")
GARBLED_ANSWERS = (
    b"UP\r\n",
    b"UP r1\n",
    b"up r1\r\n",
    b"BUSY\r\nBUSY\r\n",
    b"UP r\x01\r\n",
    b"U",
    b"x" * 6000,
    b"BUSY soon\x80\r\n",
)


class PlannedEndpoint:
    """One incarnation of an endpoint."""

    def __init__(
        self,
        incarnation: EndpointIncarnation,
        mode_faults: list[ScheduledFault],
        started_s: float,
        rng: Random,
        records: list[AttemptRecord],
    ) -> None:
        self.incarnation = incarnation
        self.rng = rng
        self.records = records
        self.connections: set[EndpointConnection] = set()
        self._mode_faults = mode_faults
        self._started_s = started_s
        self._adopted_requests: set[str] = set()
        self._server: asyncio.Server | None = None

    def draw_adoption_mode(self, request: str) -> EndpointMode | None:
        """Return the mode for an attempt to adopt a connection; only the first of a request may fail."""
        if request in self._adopted_requests:
            return None
        self._adopted_requests.add(request)
        return self.rng.choice(ADOPTION_MODES)

    @property
    def started_at_s(self) -> float:
        """Start of this incarnation on the monotonic clock, in seconds."""
        return self._started_s + self.incarnation.start_s

    @property
    def is_draining(self) -> bool:
        """True if the endpoint's drain has begun."""
        return time.monotonic() - self._started_s >= self.incarnation.drain_s

    def current_mode(self) -> EndpointMode | None:
        """Return the endpoint's current fault mode; None if it behaves normally."""
        at_s = time.monotonic() - self._started_s
        for fault in self._mode_faults:
            if fault.is_active(at_s):
                return EndpointMode(fault.mode)
        return None

    async def run(self) -> None:
        """Accept connections from the planned start to the planned end."""
        await self._sleep_until(self.incarnation.start_s)
        listening_socket = socket.socket()
        listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening_socket.bind((LOOPBACK, self.incarnation.port))
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: EndpointConnection(self), sock=listening_socket, backlog=512
        )
        if self.incarnation.drain_s < NEVER_S:
            await self._sleep_until(self.incarnation.drain_s)
            self._migrate_clients()
        await self._sleep_until(min(self.incarnation.end_s, DURATION_S + MAX_OVERRUN_S))
        self._server.close()
        for connection in list(self.connections):
            connection.record_end(by_endpoint=True)
            connection.abort()

    def _migrate_clients(self) -> None:
        loop = asyncio.get_running_loop()
        for connection in list(self.connections):
            loop.call_later(self.rng.uniform(0.0, MIGRATION_SPREAD_S), connection.migrate)

    async def _sleep_until(self, at_s: float) -> None:
        await asyncio.sleep(max(0.0, self._started_s + at_s - time.monotonic()))


class EndpointConnection(LineProtocol):
    """A relay's connection to an endpoint."""

    def __init__(self, endpoint: PlannedEndpoint) -> None:
        super().__init__()
        self._endpoint = endpoint
        self._record = AttemptRecord(endpoint.incarnation.name, endpoint.started_at_s)
        endpoint.records.append(self._record)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Add the connection to the endpoint's connections."""
        super().connection_made(transport)
        self._endpoint.connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Record the time of the first byte, and process the data."""
        self._record.first_byte_s = self._record.first_byte_s or time.monotonic()
        super().data_received(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Record that the relay ended the connection."""
        self._endpoint.connections.discard(self)
        self.record_end(by_endpoint=False)

    def record_end(self, *, by_endpoint: bool) -> None:
        """Record the end of the connection, unless it is already recorded."""
        if not self._record.ended_s:
            self._record.ended_s = time.monotonic()
            self._record.is_ended_by_endpoint = by_endpoint

    def on_line(self, line: bytes) -> None:
        """Handle a health check or the request line; echo any later line."""
        if line == HEALTH_CHECK and not self._record.complete_s:
            self._on_health_check()
            return
        if self._record.complete_s:
            if not self._record.is_silent:
                self.write(line + b"\r\n")
            return
        self._record.complete_s = time.monotonic()
        request = parse_open_request(line)
        if request is None or not request.values.get("d", "").isdigit():
            self._record.error = repr(line[:80])
            self._answer_and_close(b"SYNTAX\r\n")
            return
        self._record.request = request.request_id
        mode = self._endpoint.current_mode()
        if "at" in request.values and mode is None:
            mode = self._endpoint.draw_adoption_mode(request.request_id)
            if mode is EndpointMode.HANG and self._endpoint.rng.random() < PARTIAL_ANSWER_RATIO:
                self.write(PARTIAL_ANSWER)
        self._respond(mode)

    def _on_health_check(self) -> None:
        self._record.is_health_check = True
        match self._endpoint.current_mode():
            case EndpointMode.HANG:
                pass
            case EndpointMode.RESET:
                self.abort()
            case EndpointMode.GARBLE:
                self.write(self._endpoint.rng.choice(GARBLED_ANSWERS))
            case _:
                self.write(self._endpoint.rng.choice(LOAD_REPORT_ANSWERS))

    def _respond(self, mode: EndpointMode | None) -> None:
        rng = self._endpoint.rng
        loop = asyncio.get_running_loop()
        if mode is EndpointMode.HANG:
            self._record.is_silent = True
        elif mode is EndpointMode.RESET:
            self.record_end(by_endpoint=True)
            self.abort()
        elif mode is EndpointMode.GARBLE:
            self._answer_and_close(rng.choice(GARBLED_ANSWERS))
        elif mode is EndpointMode.BUSY or self._endpoint.is_draining:
            self._answer_and_close(b"BUSY\r\n")
        else:
            delay_s = (
                rng.uniform(0.0, MAX_SLOW_SETUP_S)
                if mode is EndpointMode.SLOW
                else rng.uniform(*SETUP_RANGE_S)
            )
            loop.call_later(delay_s, self._establish)

    def _establish(self) -> None:
        if self._record.ended_s:
            return
        self._record.answer = "UP"
        self.write(b"UP %s\r\n" % self._record.request.encode() + self._endpoint.rng.choice(LOAD_LINES))

    def _answer_and_close(self, answer: bytes) -> None:
        self._record.answer = repr(answer[:16])
        self.record_end(by_endpoint=True)
        self.write(answer)
        self.close()

    def migrate(self) -> None:
        """Ask the client to reconnect because the endpoint drains, and close the connection."""
        if self._record.answer == "UP" and not self._record.ended_s:
            self.record_end(by_endpoint=True)
            self.write(b"MOVE\r\n")
            self.close()


async def run_host(plan: SoakPlan, host: int) -> list[AttemptRecord]:
    """Run all endpoints of a host to the end of the plan, and return the records of the attempts."""
    records: list[AttemptRecord] = []
    incarnation_numbers = {incarnation.name: number for number, incarnation in enumerate(plan.incarnations)}
    running = []
    for incarnation in plan.incarnations:
        if incarnation.host != host:
            continue
        endpoint_index = int(incarnation.name.removeprefix("s"))
        mode_faults = [
            fault for fault in plan.faults_of(FaultKind.ENDPOINT_MODE) if fault.target == endpoint_index
        ]
        rng = Random(f"{plan.seed}/{incarnation.name}/{incarnation_numbers[incarnation.name]}")
        running.append(PlannedEndpoint(incarnation, mode_faults, plan.started_s, rng, records).run())
    await asyncio.gather(*running)
    return [record for record in records if not record.is_health_check]


def main() -> int:
    """Run a host, and write its records at the end."""
    plan_file, host, records_file = sys.argv[1:]
    plan = msgspec.json.decode(Path(plan_file).read_bytes(), type=SoakPlan)
    records = uvloop.run(run_host(plan, int(host)))
    Path(records_file).write_bytes(msgspec.json.encode(records))
    return 0


if __name__ == "__main__":
    sys.exit(main())
