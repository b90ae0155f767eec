"""Puts core, sockets and fronts together, and runs them until a signal."""

from __future__ import annotations

import asyncio
import logging
import signal

from sageturn.config import Config
from sageturn.core.clock import Clock
from sageturn.core.destinations import DestinationSet
from sageturn.core.drain import Lives
from sageturn.core.module import ModuleActor
from sageturn.core.requests import Record
from sageturn.core.shared import Shared
from sageturn.core.tasks import end_task
from sageturn.fronts.platform import PlatformFront
from sageturn.net.discovery import DiscoveryClient
from sageturn.net.listener import Listener

log = logging.getLogger(__name__)


class Relay:
    def __init__(self, config: Config) -> None:
        self.module = ModuleActor(config.settings, config.seed, Clock(), self._want_watch)
        self.destinations = DestinationSet(config.known, self.module.tell)
        self.discovery = DiscoveryClient(config.discovery, self.destinations.put)
        self.destinations.watcher = self.discovery
        self.lives = Lives()
        self._actors: list[asyncio.Future[None]] = []
        self.shared = Shared(self.module, self.destinations, self.lives, self._ended)
        front = PlatformFront(self.shared)
        self.listener = Listener(config.listen, front.serve, front.turn_away)

    def _want_watch(self) -> None:
        self.destinations.want_watch()

    def _ended(self, record: Record) -> None:
        log.info(
            "%s %s to %s after %d calls and %.1f s: %s%s",
            record.front,
            record.ask.class_name,
            record.endpoint or "nobody",
            record.calls,
            (record.ended_ms - record.began_ms) / 1000.0,
            record.ending.name if record.ending else "not placed",
            f", {record.answer}" if record.answer else "",
        )

    def start(self) -> None:
        runs = (self.module.run, self.destinations.run, self.listener.run)
        self._actors = [asyncio.ensure_future(run()) for run in runs]

    async def stop(self) -> None:
        """At once: whatever still stands is cut off."""
        await self.discovery.stop()
        for actor in self._actors:
            await end_task(actor)

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        stopping = asyncio.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stopping.set)
        self.start()
        waiting: asyncio.Future[object] = asyncio.ensure_future(stopping.wait())
        watched: list[asyncio.Future[object]] = [waiting, *self._actors]  # type: ignore[list-item]
        await asyncio.wait(watched, return_when=asyncio.FIRST_COMPLETED)
        for actor in self._actors:
            if actor.done():
                actor.result()  # an actor that ends by itself is a fault: let it be seen
        await self.lives.drain()
        await self.listener.finish(0.1)
        await self.stop()
