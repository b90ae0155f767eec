"""Clients on loopback sockets that connect through relays, send messages, and reconnect when migrated.

A set-up time starts when the client first requests the connection, and includes rejections and retries. The
event loop's clock may have a resolution of a millisecond, so messages are timed with ``time.monotonic``.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass, field
from itertools import count

from hdrh.histogram import HdrHistogram

from sageturn.lab.loopback.client_connection import MAX_MESSAGE_US, ClientConnection
from sageturn.lab.model.client_event import ClientEvent, late_setup_key
from sageturn.lab.model.fleet_spec import FleetSpec
from sageturn.lab.model.sampling import Client, ClientSampler
from sageturn.lab.model.simulation_result import SIGNIFICANT_DIGITS, make_setup_histogram

IMMEDIATE_RETRIES = 3  # failed attempts after which the next one waits for LONG_RETRY_DELAY_S
LONG_RETRY_DELAY_S = 2.0
GROUP_SPLIT_CHECK_S = 1.5  # time in which the other members of a migrated client's group must migrate
CHECK_IN_CLASS = "guest-checkin"

GroupLocation = tuple[int, str, str]  # relay, endpoint and group


@dataclass
class ClientObservations:
    """Counts and times that the clients have observed.

    Histograms are by class: set-up times in milliseconds, response times of messages in microseconds.
    """

    setup_histograms: list[HdrHistogram]
    message_histograms: list[HdrHistogram]
    # Counts of events; the keys are those of ClientEvent and ``late_setup_key``.
    counts: Counter[str] = field(default_factory=Counter)
    weighted_waiting_s: float = 0.0
    migrations_by_client: Counter[str] = field(default_factory=Counter)

    @classmethod
    def for_fleet(cls, spec: FleetSpec) -> ClientObservations:
        """Make empty observations of a fleet's classes."""
        setups = [make_setup_histogram() for _ in spec.classes]
        messages = [HdrHistogram(1, MAX_MESSAGE_US, SIGNIFICANT_DIGITS) for _ in spec.classes]
        return cls(setups, messages)


class ClientPopulation:
    """All clients of a run; ``relays`` are the addresses over which their connections are spread.

    ``established`` has the connections in the order of their set-ups. ``requested`` is the number of clients
    that request a connection, whether it is established or not.
    """

    def __init__(
        self, spec: FleetSpec, relays: list[tuple[str, int]], observations: ClientObservations
    ) -> None:
        self.spec = spec
        self.relays = relays
        self.observations = observations
        self.sampler = ClientSampler(spec, 0)
        self.established: dict[ClientConnection, None] = {}
        self.requested = 0
        self._request_ids = count(1)
        self._tasks: set[asyncio.Task[None]] = set()
        # The time at which each client was established at a location, by its key.
        self._groups: dict[GroupLocation, dict[str, float]] = {}
        self._stopping = False

    # ------------------------------------------------------------ clients

    def spawn(self, client: Client, relay: int | None = None, endpoint: str = "") -> asyncio.Task[None]:
        """Start a client; ``relay`` and ``endpoint`` are those of a connection that predates the run."""
        task = asyncio.ensure_future(self._run_client(client, relay, endpoint))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def run_arrivals(self, arrivals_per_s: float) -> None:
        """Spawn clients in an open loop: arrival times do not depend on the relays' speed."""
        loop = asyncio.get_running_loop()
        due_s = loop.time()
        while True:
            due_s += self.sampler.interarrival_s(arrivals_per_s)
            await asyncio.sleep(max(0.0, due_s - loop.time()))
            client = self.sampler.client()
            client.waiting_since_s = due_s
            self.spawn(client)

    async def stop(self) -> None:
        """End all clients."""
        self._stopping = True
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks)

    async def _run_client(self, client: Client, relay: int | None, endpoint: str) -> None:
        loop = asyncio.get_running_loop()
        self.requested += 1
        try:
            while not self._stopping:
                if client.waiting_since_s is None:
                    client.waiting_since_s = loop.time()
                if relay is None:
                    relay = self.sampler.index_below(len(self.relays))
                connection = ClientConnection(self, client, relay, endpoint)
                await self._run_connection(connection)
                relay = None
                endpoint = ""
                if client.lifetime_s <= 0.0:
                    return
                await asyncio.sleep(self._reconnect_delay_s(connection, loop.time()))
        finally:
            self.requested -= 1

    async def _run_connection(self, connection: ClientConnection) -> None:
        address = self.relays[connection.relay]
        try:
            await asyncio.get_running_loop().create_connection(lambda: connection, *address)
        except OSError:
            self.observations.counts[ClientEvent.CONNECT_FAILED] += 1
            return
        try:
            await connection.closed.wait()
        finally:
            connection.close()

    def _reconnect_delay_s(self, connection: ClientConnection, now_s: float) -> float:
        client = connection.client
        delay_s = self.sampler.reconnect_delay_s()
        if not connection.established:
            client.attempts += 1
            delay_s = max(delay_s, connection.retry_after_s)
            if client.attempts % IMMEDIATE_RETRIES == 0:
                delay_s = max(delay_s, LONG_RETRY_DELAY_S)
            return delay_s
        # The client requests a connection after this delay; any further delay counts as the relay's.
        client.attempts = 1
        client.waiting_since_s = now_s + delay_s
        weight = self.spec.classes[client.class_index].priority_weight
        self.observations.weighted_waiting_s += weight * delay_s
        return delay_s

    # ------------------------------------------------------------ events of connections

    def next_request_id(self) -> str:
        """Return a request id that no other connection of the run has."""
        return f"{next(self._request_ids):016x}"

    def count(self, event: ClientEvent) -> None:
        """Count an event."""
        self.observations.counts[event] += 1

    def record_message(self, class_index: int, duration_us: int) -> None:
        """Record the time between a message and its answer, in microseconds."""
        self.observations.message_histograms[class_index].record_value(duration_us)

    def on_established(self, connection: ClientConnection, setup_s: float) -> None:
        """Record an established connection; one that predates the run does not count as a set-up."""
        client = connection.client
        class_spec = self.spec.classes[client.class_index]
        self.established[connection] = None
        members = self._groups.setdefault(_group_location(connection), {})
        members[client.key] = asyncio.get_running_loop().time()
        if connection.initial_endpoint:
            return
        setup_ms = setup_s * 1000.0
        observations = self.observations
        observations.setup_histograms[client.class_index].record_value(max(1, round(setup_ms)))
        observations.counts[ClientEvent.SET_UP] += 1
        observations.counts[late_setup_key(class_spec.name)] += setup_ms > class_spec.latency_objective_ms
        observations.weighted_waiting_s += class_spec.priority_weight * setup_s

    def on_closed(self, connection: ClientConnection) -> None:
        """Record the end of a connection, established or not."""
        if connection in self.established:
            del self.established[connection]
            location = _group_location(connection)
            self._groups[location].pop(connection.client.key, None)
            if not self._groups[location]:
                del self._groups[location]
        if self._stopping:
            return
        if connection.migrated:
            self._count_migration(connection)
        elif connection.established and not connection.finished:
            self.observations.counts[ClientEvent.CUT] += 1

    def _count_migration(self, connection: ClientConnection) -> None:
        client = connection.client
        observations = self.observations
        observations.counts[ClientEvent.MIGRATED] += 1
        observations.migrations_by_client[client.key] += 1
        observations.counts[ClientEvent.MIGRATED_REPEATEDLY] += (
            observations.migrations_by_client[client.key] > 1
        )
        if self.spec.classes[client.class_index].name == CHECK_IN_CLASS:
            observations.counts[ClientEvent.CHECK_IN_MIGRATED] += 1
        if client.group:
            loop = asyncio.get_running_loop()
            loop.call_later(
                GROUP_SPLIT_CHECK_S, self._check_for_split, _group_location(connection), loop.time()
            )

    def _check_for_split(self, location: GroupLocation, migrated_s: float) -> None:
        """Count a migration after which earlier members of the client's group remain connected."""
        members = self._groups.get(location, {})
        if any(since_s < migrated_s - GROUP_SPLIT_CHECK_S for since_s in members.values()):
            self.observations.counts[ClientEvent.LEFT_BEHIND] += 1


def _group_location(connection: ClientConnection) -> GroupLocation:
    return connection.relay, connection.endpoint, connection.client.group
