"""Clients of the soak test, some of which disconnect early, write in fragments or send invalid requests."""

from __future__ import annotations

import asyncio
import socket
import struct
import time
from contextlib import suppress
from random import Random

from sageturn.core.tasks import cancel_and_wait
from sageturn.lab.soak.plan import ADOPTED_PER_RELAY, FaultKind, ScheduledFault, SoakPlan
from sageturn.lab.soak.records import ClientEnd, ClientRecord
from sageturn.lab.soak.relays import SoakRelay

LINE_INTERVAL_S = 0.5  # time between two lines on an established connection
CONNECTION_LIFETIME_S = (0.3, 5.0)  # minimum and maximum
PERSISTENT_RATIO = 0.3  # ratio of clients that use their connection until the relay ends it
PERSISTENT_LINE_INTERVAL_S = 0.1
MAX_LIFETIME_S = 60.0  # bound for a client whose connection the relay never ends
ADOPTION_LIMIT_S = 40.0  # time in which the protocol wants a connection from before the run to be up
UNLIMITED_WAIT_MS = 999999999  # wait that an adopted client states
CROWD_CLIENTS = 120  # idle clients of one relay in a crowd; it may keep a sixth of its descriptors pending
MAX_EARLY_WAIT_S = 0.15  # longest wait of clients that disconnect early
EXTRA_WAIT_S = 1.5  # time past its timeout in which a client still reads late answers
INVALID_ANSWER_DEADLINE_S = 3.0  # limit for an answer to an invalid request, or its disconnect
BURST_FACTOR = 2.0  # factor of the request rate during a client burst
# Ratios of clients that disconnect early or send an invalid request, normally and during CLIENT_FAULTS.
NORMAL_EARLY_RATIO = 0.03
FAULTY_EARLY_RATIO = 0.15
FAULTY_INVALID_RATIO = 0.15
FRAGMENTED_RATIO = 0.1  # ratio of requests that are written in fragments
RESET_RATIO = 0.5  # ratio of early disconnects that are resets
INVALID_RESET_RATIO = 0.3  # ratio of invalid requests after which the client resets at once
MAX_FRAGMENT_PAUSE_S = 0.004  # longest pause between two fragments
READ_BYTES = 4096
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
INVALID_INPUTS = (
    b"OPEN half",
    b"GET / HTTP/1.1\r\n\r\n",
    b"OPEN a b c=c,t=t,d=x\r\n",
    b"OPEN a b c=nobody,t=t,d=500\r\n",
    b"\x00\xff\r\n",
    b"PING\r\n" * 40 + b"OPEN",
    b"x" * 9000,
    b"OPEN a b c=c,t=t,d=500\r\nM 1\r\nM 2\r\n",
)


class Connection:
    """One client's connection, on a plain socket, so that bytes received before a reset can still be read.

    An asyncio transport would drop them as soon as a write fails.
    """

    def __init__(self, sock: socket.socket, record: ClientRecord) -> None:
        self._sock = sock
        self._record = record
        self._lines: asyncio.Queue[bytes | None] = asyncio.Queue()  # None: the relay has ended the connection
        self._read_task = asyncio.ensure_future(self._read())

    @classmethod
    async def open(cls, address: tuple[str, int], record: ClientRecord) -> Connection:
        """Connect a client.

        Raises:
            OSError: The relay did not accept the connection.
        """
        sock = socket.socket()
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            await asyncio.get_running_loop().sock_connect(sock, address)
        except OSError:
            sock.close()
            raise
        record.client_port = sock.getsockname()[1]
        return cls(sock, record)

    async def _read(self) -> None:
        loop = asyncio.get_running_loop()
        partial_line = b""
        end = ClientEnd.EOF
        try:
            while data := await loop.sock_recv(self._sock, READ_BYTES):
                *lines, partial_line = (partial_line + data).split(b"\n")
                for line in lines:
                    self._lines.put_nowait(line.rstrip(b"\r"))
        except OSError:
            end = ClientEnd.RESET
        if not self._record.left_s:
            self._record.ended_s = time.monotonic()
            self._record.end = end
        self._lines.put_nowait(None)

    def write(self, data: bytes) -> None:
        """Send data; an error is ignored here, and found when the connection is read."""
        with suppress(OSError):
            self._sock.send(data)

    async def read_line(self, timeout_s: float) -> bytes | None:
        """Return the next line; None once the relay has ended the connection, b"" after the timeout."""
        try:
            async with asyncio.timeout(max(0.0, timeout_s)):
                return await self._lines.get()
        except TimeoutError:
            return b""

    async def disconnect(self, *, by_reset: bool) -> None:
        """Close the connection from the client's side, by a reset or in order."""
        if not self._record.ended_s:
            self._record.left_s = time.monotonic()
        await cancel_and_wait(self._read_task)
        if by_reset:
            with suppress(OSError):
                self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self._sock.close()


class ClientPopulation:
    """Generator of all clients of a run; each client adds a record to ``records``."""

    def __init__(self, plan: SoakPlan, relays: list[SoakRelay]) -> None:
        self.records: list[ClientRecord] = []
        self._plan = plan
        self._relays = relays
        self._rng = Random(f"{plan.seed}/clients")
        self._tasks: set[asyncio.Task[None]] = set()
        self._persistent_tasks: list[asyncio.Task[None]] = []

    def start_adopted(self) -> None:
        """Start the clients whose connections were open before the relays started."""
        names = sorted({each.name for each in self._plan.incarnations if each.start_s <= 0.0})
        for relay in self._relays:
            for _ in range(ADOPTED_PER_RELAY):
                self._persistent_tasks.append(
                    asyncio.ensure_future(self._run_adopted(relay, self._rng.choice(names)))
                )

    async def wait_until_ended(self) -> None:
        """Return once the persistent clients have ended, which the end of their relays causes."""
        await asyncio.gather(*self._persistent_tasks)

    async def run(self, duration_s: float) -> None:
        """Start clients until ``duration_s`` after the run's start; return once all but persistent ones end.

        Clients of a crowd are started beside the others.
        """
        crowds = [
            asyncio.ensure_future(self._run_crowd(fault))
            for fault in self._plan.faults_of(FaultKind.CLIENT_CROWD)
        ]
        end_s = self._plan.started_s + duration_s
        while time.monotonic() < end_s:
            factor = BURST_FACTOR if self._is_active(FaultKind.CLIENT_BURST) else 1.0
            await asyncio.sleep(self._rng.expovariate(self._plan.size.requests_per_s * factor))
            relays_in_rotation = [relay for relay in self._relays if relay.is_in_rotation]
            if relays_in_rotation:
                self._start_client(self._rng.choice(relays_in_rotation))
        await asyncio.gather(*crowds)
        while self._tasks:
            await asyncio.wait(self._tasks)

    def _start_client(self, relay: SoakRelay) -> None:
        is_persistent = self._rng.random() < PERSISTENT_RATIO
        task = asyncio.ensure_future(self._run_client(relay, is_persistent))
        if is_persistent:
            self._persistent_tasks.append(task)
        else:
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _is_active(self, kind: FaultKind) -> bool:
        at_s = time.monotonic() - self._plan.started_s
        return any(fault.is_active(at_s) for fault in self._plan.faults_of(kind))

    async def _connect(self, relay: SoakRelay, wait_s: float) -> tuple[Connection | None, ClientRecord]:
        """Connect a new client to a relay; the connection is None if it was refused."""
        request = f"q{len(self.records)}"
        record = ClientRecord(request, relay.number, relay.record.process, wait_s, self._plan.effect)
        self.records.append(record)
        try:
            connection = await Connection.open(relay.address, record)
        except OSError:
            record.ended_s = time.monotonic()
            record.end = ClientEnd.REFUSED
            return None, record
        record.relay_process = relay.record.process
        return connection, record

    async def _run_adopted(self, relay: SoakRelay, endpoint: str) -> None:
        connection, record = await self._connect(relay, ADOPTION_LIMIT_S)
        if connection is None:
            return
        record.adopted_endpoint = endpoint
        record.connected_s = time.monotonic()
        fields = f"c=c,t=t,d={UNLIMITED_WAIT_MS},at={endpoint}"
        connection.write(f"OPEN {record.request} k{record.request} {fields}\r\n".encode())
        record.sent_s = time.monotonic()
        await self._await_answer(connection, record, ADOPTION_LIMIT_S)
        if record.is_established:
            await self._exchange_lines(connection, record, is_persistent=True)
        else:
            await connection.disconnect(by_reset=False)

    async def _run_crowd(self, fault: ScheduledFault) -> None:
        """Have idle clients come to one relay, evenly over the fault's duration."""
        relay = self._relays[fault.target]
        await asyncio.sleep(max(0.0, self._plan.started_s + fault.begin_s - time.monotonic()))
        idle = []
        for _ in range(CROWD_CLIENTS):
            idle.append(asyncio.ensure_future(self._run_idle(relay)))
            await asyncio.sleep((fault.end_s - fault.begin_s) / CROWD_CLIENTS)
        await asyncio.gather(*idle)

    async def _run_idle(self, relay: SoakRelay) -> None:
        connection, record = await self._connect(relay, 0.0)
        if connection is None:
            return
        record.is_bad = True
        record.sent_s = time.monotonic()
        await self._await_bad_answer(connection, record)

    async def _run_client(self, relay: SoakRelay, is_persistent: bool) -> None:
        connection, record = await self._connect(relay, self._plan.request_timeout_s)
        if connection is None:
            return
        has_client_faults = self._is_active(FaultKind.CLIENT_FAULTS)
        if has_client_faults and self._rng.random() < FAULTY_INVALID_RATIO:
            await self._run_invalid_client(connection, record)
            return
        await self._send_request(connection, record)
        early_ratio = FAULTY_EARLY_RATIO if has_client_faults else NORMAL_EARLY_RATIO
        if self._rng.random() < early_ratio:
            await self._await_answer(connection, record, self._rng.uniform(0.0, MAX_EARLY_WAIT_S))
            await connection.disconnect(by_reset=self._rng.random() < RESET_RATIO)
            return
        await self._await_answer(connection, record, record.wait_s + EXTRA_WAIT_S)
        if record.is_established:
            await self._exchange_lines(connection, record, is_persistent=is_persistent)
            return
        while record.answer and await connection.read_line(1.0):
            record.lines_after_answer += 1
        await connection.disconnect(by_reset=False)

    async def _send_request(self, connection: Connection, record: ClientRecord) -> None:
        record.connected_s = time.monotonic()
        wait_ms = round(record.wait_s * 1000.0)
        line = f"OPEN {record.request} k{record.request} c=c,t=t,d={wait_ms}\r\n".encode()
        if self._rng.random() < FRAGMENTED_RATIO:
            while len(line) > 1:
                size = self._rng.randint(1, len(line) - 1)
                connection.write(line[:size])
                line = line[size:]
                await asyncio.sleep(self._rng.uniform(0.0, MAX_FRAGMENT_PAUSE_S))
        connection.write(line)
        if not record.ended_s:  # otherwise the relay may not have received the whole request
            record.sent_s = time.monotonic()

    async def _await_answer(self, connection: Connection, record: ClientRecord, timeout_s: float) -> None:
        line = await connection.read_line(timeout_s)
        if line:
            record.answer = line.decode("latin-1").strip()
            record.answered_s = time.monotonic()

    async def _exchange_lines(
        self, connection: Connection, record: ClientRecord, *, is_persistent: bool
    ) -> None:
        """Send and read lines until the client's lifetime is over or the relay has ended the connection."""
        lifetime_s = MAX_LIFETIME_S if is_persistent else self._rng.uniform(*CONNECTION_LIFETIME_S)
        interval_s = PERSISTENT_LINE_INTERVAL_S if is_persistent else LINE_INTERVAL_S
        done_s = time.monotonic() + lifetime_s
        number = 0
        is_ended = False
        while time.monotonic() < done_s and not is_ended:
            number += 1
            connection.write(b"M %d\r\n" % number)
            next_line_s = time.monotonic() + interval_s
            while (remaining_s := next_line_s - time.monotonic()) > 0:
                line = await connection.read_line(remaining_s)
                if line is None:
                    is_ended = True
                    break
                record.lines_after_answer += bool(line)
                if line == b"MOVE":
                    record.is_moved = True
        await connection.disconnect(by_reset=False)

    async def _run_invalid_client(self, connection: Connection, record: ClientRecord) -> None:
        record.is_bad = True
        data = self._rng.choice(INVALID_INPUTS)
        connection.write(data)
        record.sent_s = time.monotonic()
        if self._rng.random() < INVALID_RESET_RATIO:
            await connection.disconnect(by_reset=True)
            return
        await self._await_bad_answer(connection, record)

    async def _await_bad_answer(self, connection: Connection, record: ClientRecord) -> None:
        """Read until the relay ends the connection of a client that sent no valid request."""
        end_s = record.sent_s + INVALID_ANSWER_DEADLINE_S + EXTRA_WAIT_S
        while not record.ended_s and (remaining_s := end_s - time.monotonic()) > 0:
            line = await connection.read_line(remaining_s)
            if line and line != b"PONG" and not record.answer:
                record.answer = line.decode("latin-1").strip()
                record.answered_s = time.monotonic()
        await connection.disconnect(by_reset=False)
