"""Digest replication of the store as of revision 1157f72, retained as a baseline for its successor.

Both ends of each link send their whole digest at an interval, and then the records that the other end lacks;
new records are sent at once over every link. It depends only on the store's channel and records, not on the
store's present replication.
"""

from __future__ import annotations

import asyncio
import hmac
import json
import logging
import socket
from contextlib import suppress
from dataclasses import dataclass

from sageturn.core.tasks import cancel_and_wait
from sageturn.net.admission import AdmissionController, PendingConnection
from sageturn.net.connecting import ConnectFailure, connect
from sageturn.net.json_stream import JsonObject
from sageturn.net.listener import Listener
from sageturn.net.sockets import send_gathered
from sageturn.store.channel import TAG_BYTES, AuthenticatedChannel
from sageturn.store.errors import HandshakeRejectedError, InvalidRecordError
from sageturn.store.records import StoreRecord, parse_record
from sageturn.store.store import Store

log = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 2.0
HANDSHAKE_TIMEOUT_S = 3.0
RECEIVE_TIMEOUT_INTERVALS = 4
MIN_RECONNECT_BACKOFF_S = 0.2
MAX_RECONNECT_BACKOFF_S = 5.0
MAX_QUEUED_BATCHES = 256
RECORDS_PER_FRAME = 200
MAX_FRAME_BYTES = 4 << 20

RecordQueue = asyncio.Queue[list[StoreRecord]]


@dataclass(frozen=True, slots=True)
class LinkOptions:
    """A member's listening address, the peers that it dials, the shared secret, and the digest interval."""

    listen: tuple[str, int]
    peers: tuple[tuple[str, int], ...]
    secret: bytes
    interval_s: float = 2.0


class JsonChannel(AuthenticatedChannel):
    """Channel whose frames are one JSON value each, of up to ``MAX_FRAME_BYTES``."""

    async def send_json(self, message: object) -> None:
        """Send a JSON value. Raise OSError if the link has ended."""
        payload = json.dumps(message, separators=(",", ":")).encode()
        async with self._write_lock:
            tag = self._frame_tag(self._send_role, self._sent_frames, payload)
            self._sent_frames += 1
            await send_gathered(self._sock, (len(payload).to_bytes(4, "big"), payload, tag))

    async def receive_json(self) -> JsonObject:
        """Return the next message. Raise HandshakeRejectedError if the frame's tag does not match."""
        payload = await self._read_sized(MAX_FRAME_BYTES)
        if not hmac.compare_digest(
            await self._read(TAG_BYTES), self._frame_tag(self._receive_role, self._received_frames, payload)
        ):
            raise HandshakeRejectedError("a frame was tampered with")
        self._received_frames += 1
        message: JsonObject = json.loads(payload)
        return message

    def _frame_tag(self, role: bytes, frame_number: int, payload: bytes) -> bytes:
        parts = (role, frame_number.to_bytes(4, "big"), payload)
        sized = b"".join(len(part).to_bytes(4, "big") + part for part in parts)
        return hmac.digest(self._key, sized, "sha256")


def missing_from(store: Store, digest: dict[str, tuple[int, str]]) -> list[StoreRecord]:
    """Return the records that a copy with this digest lacks or has in an older version."""
    return [
        record for record in store.records() if record.key not in digest or digest[record.key] < record.order
    ]


class DigestReplication:
    """Replication of a store over links that this member dials and links that it accepts."""

    state_report_interval_s = 0.0

    def __init__(self, store: Store, options: LinkOptions, admission: AdmissionController) -> None:
        self._store = store
        self._options = options
        self._listener = Listener(options.listen, self._on_accepted, b"", admission)
        self.address = self._listener.address
        self._queues: set[RecordQueue] = set()
        self._tasks: list[asyncio.Task[None]] = []
        self.link_count = 0
        store.on_change.append(self._on_change)

    def state_report(self) -> dict[str, object]:
        """Return the replication's part of a relay's state record, which is empty."""
        return {}

    def start(self) -> None:
        """Listen and dial the peers until ``stop`` is called."""
        self._listener.start_listening()
        self._tasks = [asyncio.ensure_future(self._listener.run())]
        self._tasks += [asyncio.ensure_future(self._keep_connected(peer)) for peer in self._options.peers]

    async def stop(self) -> None:
        """End all links. The replication cannot be started again."""
        for task in self._tasks:
            await cancel_and_wait(task)
        await self._listener.cancel_connections()
        self._store.on_change.remove(self._on_change)

    def _on_change(self, records: list[StoreRecord]) -> None:
        for queue in self._queues:
            with suppress(asyncio.QueueFull):
                queue.put_nowait(records)

    async def _keep_connected(self, peer: tuple[str, int]) -> None:
        backoff_s = MIN_RECONNECT_BACKOFF_S
        while True:
            sock = await connect(peer, CONNECT_TIMEOUT_S)
            if not isinstance(sock, ConnectFailure):
                with sock:
                    if await self._run_link(sock, dialled=True, pending=None):
                        backoff_s = MIN_RECONNECT_BACKOFF_S
            await asyncio.sleep(backoff_s)
            backoff_s = min(MAX_RECONNECT_BACKOFF_S, backoff_s * 2)

    async def _on_accepted(self, sock: socket.socket, pending: PendingConnection) -> None:
        await self._run_link(sock, dialled=False, pending=pending)

    async def _run_link(self, sock: socket.socket, dialled: bool, pending: PendingConnection | None) -> bool:
        """Run a link until it ends. Return False if it was not established."""
        channel = JsonChannel(sock, self._options.secret, self._store.node)
        try:
            async with (
                pending.time_limit(HANDSHAKE_TIMEOUT_S) if pending else asyncio.timeout(HANDSHAKE_TIMEOUT_S)
            ):
                await channel.perform_handshake(dialled)
        except (OSError, TimeoutError) as error:
            log.warning("replication link not established reason=%s", error or "timed out")
            return False
        if pending is not None:
            pending.mark_active()
        await self._replicate(channel)
        return True

    async def _replicate(self, channel: JsonChannel) -> None:
        queue: RecordQueue = asyncio.Queue(MAX_QUEUED_BATCHES)
        self._queues.add(queue)
        self.link_count += 1
        directions = [
            asyncio.ensure_future(self._send(channel, queue)),
            asyncio.ensure_future(self._receive(channel, queue)),
        ]
        try:
            await asyncio.wait(directions, return_when=asyncio.FIRST_COMPLETED)
        finally:
            self._queues.discard(queue)
            self.link_count -= 1
            for direction in directions:
                await cancel_and_wait(direction)

    async def _send(self, channel: JsonChannel, queue: RecordQueue) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await channel.send_json({"digest": self._store.digest()})
            next_digest_s = loop.time() + self._options.interval_s
            with suppress(TimeoutError):
                while True:
                    async with asyncio.timeout_at(next_digest_s):
                        records = await queue.get()
                    for start in range(0, len(records), RECORDS_PER_FRAME):
                        chunk = records[start : start + RECORDS_PER_FRAME]
                        await channel.send_json({"records": [record.to_json() for record in chunk]})

    async def _receive(self, channel: JsonChannel, queue: RecordQueue) -> None:
        while True:
            async with asyncio.timeout(self._options.interval_s * RECEIVE_TIMEOUT_INTERVALS):
                message = await channel.receive_json()
            try:
                self._apply(message, queue)
            except (InvalidRecordError, KeyError, TypeError, ValueError, AttributeError) as error:
                raise HandshakeRejectedError(f"invalid replication message: {error}") from None

    def _apply(self, message: JsonObject, queue: RecordQueue) -> None:
        if "digest" not in message:
            self._store.merge([parse_record(obj) for obj in message["records"]])
            return
        digest = {str(key): (int(order[0]), str(order[1])) for key, order in message["digest"].items()}
        missing = missing_from(self._store, digest)
        if missing and not queue.full():
            queue.put_nowait(missing)
        # Revision 1157f72 also checked here whether both copies were in sync. The result is not used, but the
        # check over all keys is part of the measured cost.
        own_digest = self._store.digest()
        all(key in own_digest and own_digest[key] >= order for key, order in digest.items())
