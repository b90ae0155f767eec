"""The store's spread as it was up to revision 1157f72, kept so that what follows it is measured beside it.

Each link's ends say their whole digest now and then, and send what the other's lacks; new records go out at
once, over every link. It stands on the store's frames and records alone, whatever spreads them now.
"""

from __future__ import annotations

import asyncio
import hmac
import json
import logging
import socket
from contextlib import suppress
from dataclasses import dataclass
from typing import Any

from sageturn.core.tasks import cancel_and_wait
from sageturn.net.admission import AdmissionController, PendingConnection
from sageturn.net.listener import Listener
from sageturn.net.sockets import ConnectFailure, connect, send_gathered
from sageturn.store.channel import TAG_BYTES, AuthenticatedChannel
from sageturn.store.errors import HandshakeRejectedError, InvalidRecordError
from sageturn.store.records import StoreRecord, parse_record
from sageturn.store.store import Store

log = logging.getLogger(__name__)

CONNECT_S, HANDS_S = 2.0, 3.0
SILENT_TIMES = 4
RETRY_S, RETRY_MOST_S = 0.2, 5.0
PUSHES, PART = 256, 200
DIGEST_MOST = 4 << 20  # octets of a frame

Pushes = asyncio.Queue[list[StoreRecord]]


@dataclass(frozen=True, slots=True)
class LinkOptions:
    """Where a member listens, whom it dials, and how often a digest is said."""

    listen: tuple[str, int]
    peers: tuple[tuple[str, int], ...]
    secret: bytes
    interval_s: float = 2.0


class JsonLink(AuthenticatedChannel):
    """Frames of one JSON value each, of up to four megabytes."""

    async def send(self, message: Any) -> None:
        payload = json.dumps(message, separators=(",", ":")).encode()
        async with self._write_lock:
            tag = self._keyed(self._send_role, self._sent_frames, payload)
            self._sent_frames += 1
            await send_gathered(self._sock, (len(payload).to_bytes(4, "big"), payload, tag))

    async def receive(self) -> Any:
        payload = await self._read_sized(DIGEST_MOST)
        if not hmac.compare_digest(
            await self._read(TAG_BYTES), self._keyed(self._receive_role, self._received_frames, payload)
        ):
            raise HandshakeRejectedError("a frame was tampered with")
        self._received_frames += 1
        return json.loads(payload)

    def _keyed(self, way: bytes, number: int, payload: bytes) -> bytes:
        parts = (way, number.to_bytes(4, "big"), payload)
        sized = b"".join(len(part).to_bytes(4, "big") + part for part in parts)
        return hmac.digest(self._key, sized, "sha256")


def missing_from(store: Store, digest: dict[str, tuple[int, str]]) -> list[StoreRecord]:
    """What a copy with this digest has not got, or has got an older one of."""
    return [r for k, r in store._records.items() if k not in digest or digest[k] < r.order]


class DigestSpread:
    """A link of its own to each peer, and the others'."""

    state_report_interval_s = 0.0

    def __init__(self, store: Store, options: LinkOptions, admission: AdmissionController) -> None:
        self._store, self._options = store, options
        self._listener = Listener(options.listen, self._accepted, b"", admission)
        self.address = self._listener.address
        self._queues: set[Pushes] = set()
        self._tasks: list[asyncio.Task[None]] = []
        self.link_count = 0
        store.on_change.append(self._changed)

    def state(self) -> dict[str, object]:
        return {}

    def start(self) -> None:
        self._listener.start_listening()
        self._tasks = [asyncio.ensure_future(self._listener.run())]
        self._tasks += [asyncio.ensure_future(self._dial(peer)) for peer in self._options.peers]

    async def stop(self) -> None:
        for task in self._tasks:
            await cancel_and_wait(task)
        await self._listener.cancel_connections()
        self._store.on_change.remove(self._changed)

    def _changed(self, records: list[StoreRecord]) -> None:
        for queue in self._queues:
            with suppress(asyncio.QueueFull):
                queue.put_nowait(records)

    async def _dial(self, peer: tuple[str, int]) -> None:
        wait_s = RETRY_S
        while True:
            sock = await connect(peer, CONNECT_S)
            if not isinstance(sock, ConnectFailure):
                with sock:
                    if await self._serve(sock, True, None):
                        wait_s = RETRY_S
            await asyncio.sleep(wait_s)
            wait_s = min(RETRY_MOST_S, wait_s * 2)

    async def _accepted(self, sock: socket.socket, pending: PendingConnection) -> None:
        await self._serve(sock, False, pending)

    async def _serve(self, sock: socket.socket, dialled: bool, pending: PendingConnection | None) -> bool:
        link = JsonLink(sock, self._options.secret, self._store.node)
        try:
            async with pending.time_limit(HANDS_S) if pending else asyncio.timeout(HANDS_S):
                await link.perform_handshake(dialled)
        except (OSError, TimeoutError) as error:
            log.warning("no link: %s", error or "timed out")
            return False
        if pending is not None:
            pending.mark_active()
        queue: Pushes = asyncio.Queue(PUSHES)
        self._queues.add(queue)
        self.link_count += 1
        ways = [asyncio.ensure_future(way(link, queue)) for way in (self._tell, self._hear)]
        try:
            await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
        finally:
            self._queues.discard(queue)
            self.link_count -= 1
            for way in ways:
                await cancel_and_wait(way)
        return True

    async def _tell(self, link: JsonLink, queue: Pushes) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await link.send({"digest": self._store.digest()})
            due = loop.time() + self._options.interval_s
            with suppress(TimeoutError):
                while True:
                    async with asyncio.timeout_at(due):
                        records = await queue.get()
                    for at in range(0, len(records), PART):
                        await link.send({"records": [r.to_json() for r in records[at : at + PART]]})

    async def _hear(self, link: JsonLink, queue: Pushes) -> None:
        while True:
            async with asyncio.timeout(self._options.interval_s * SILENT_TIMES):
                message = await link.receive()
            try:
                self._take(message, queue)
            except (InvalidRecordError, KeyError, TypeError, ValueError, AttributeError) as error:
                raise HandshakeRejectedError(f"not understood: {error}") from None

    def _take(self, message: Any, queue: Pushes) -> None:
        if "digest" not in message:
            self._store.merge([parse_record(obj) for obj in message["records"]])
            return
        digest = {str(k): (int(v[0]), str(v[1])) for k, v in message["digest"].items()}
        missing = missing_from(self._store, digest)
        if missing and not queue.full():
            queue.put_nowait(missing)
        # It was asked then whether both were in step, which walks all keys once more.
        mine = self._store.digest()
        all(k in mine and mine[k] >= order for k, order in digest.items())
