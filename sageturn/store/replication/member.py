"""A member of the replication group: its replica, its listener and the links to other members.

The protocol and the topology are in modules without I/O (``replica``, ``session``, ``overlay``). This module
connects them to sockets, tasks and the clock.
"""

from __future__ import annotations

import asyncio
import socket
import time
from contextlib import suppress
from functools import partial
from random import Random

from sageturn.core.tasks import cancel_and_wait
from sageturn.net.admission import AdmissionController, PendingConnection
from sageturn.net.listener import Listener
from sageturn.store.replication.errors import LinkNotEstablishedError
from sageturn.store.replication.link_dialer import LinkDialer
from sageturn.store.replication.link_runner import LinkRunner, OutputSignal
from sageturn.store.replication.location import ReplicaLocation
from sageturn.store.replication.options import ReplicationOptions
from sageturn.store.replication.overlay import Overlay
from sageturn.store.replication.replica import Replica, ReplicaCallbacks
from sageturn.store.replication.state_report import ReplicationStateReport, report_interval_s
from sageturn.store.replication.topology import TopologyFactory
from sageturn.store.store import Store

NO_REJECTION_RESPONSE = b""  # a connection over the limit is closed without a response


class ReplicationMember:
    """A running member, which accepts links of other members and dials those that the topology selects.

    The relay starts and stops it.
    """

    def __init__(
        self,
        store: Store,
        options: ReplicationOptions,
        admission: AdmissionController,
        rng: Random,
        make_topology: TopologyFactory | None = None,
    ) -> None:
        """Bind the listener.

        Args:
            store: The store to replicate.
            options: The options from section ``store`` of the operator's file.
            admission: The admission controller, which limits the connections of the process.
            rng: The source of randomness of the replica and its topology.
            make_topology: Creates a topology to use instead of the overlay; None for the overlay.

        Raises:
            OSError: The address cannot be bound.
        """
        self.listener = Listener(options.listen, self._on_accepted, NO_REJECTION_RESPONSE, admission)
        self.address = self.listener.address
        output_signal = OutputSignal()
        tick_due = asyncio.Event()
        self.replica = Replica(
            store,
            rng,
            time.monotonic(),
            ReplicaLocation(self.address, options.region, options.zone),
            make_topology or partial(Overlay, seeds=options.seeds, rng=rng),
            options.max_bytes_per_s,
            options.horizon_s,
            ReplicaCallbacks(output_signal.notify, tick_due.set),
            expects_peers=any(seed != self.address for seed in options.seeds),
        )
        self._link_runner = LinkRunner(self.replica, options.secret, output_signal)
        self._dialer = LinkDialer(self.replica, self._link_runner, tick_due)
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def link_count(self) -> int:
        """The number of established links, to members and to ephemeral clients."""
        return sum(1 for session in self.replica.sessions if session.peer_hello is not None)

    def state_report(self) -> dict[str, object]:
        """Return the encoded state report that the relay publishes for operators."""
        report = ReplicationStateReport(
            self.link_count,
            self.replica.sync_status.recently_in_sync,
            self.replica.zones.ages(time.monotonic()),
            self.replica.catch_up.is_caught_up,
            self.replica.catch_up.rejected_clients,
        )
        return report.encode()

    @property
    def state_report_interval_s(self) -> float:
        """The interval in seconds at which the relay publishes state reports."""
        return report_interval_s(len(self.replica.members))

    def start(self) -> None:
        """Start to accept links, announce this member and dial others; requires a running event loop."""
        self.listener.start_listening()
        self._tasks = [
            asyncio.ensure_future(self.listener.run()),
            asyncio.ensure_future(self._dialer.run()),
        ]

    async def stop(self) -> None:
        """Stop the listener and the dialer, and end all links. The store stays usable."""
        for task in self._tasks:
            await cancel_and_wait(task)
        await self._dialer.cancel_dials()
        await self.listener.cancel_connections()
        self.replica.close()

    async def _on_accepted(self, sock: socket.socket, pending: PendingConnection) -> None:
        with suppress(LinkNotEstablishedError):  # already logged by the link runner
            await self._link_runner.run(sock, None, pending)
