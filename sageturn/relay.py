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
from sageturn.fronts.platform import PlatformFront, Shared
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
        self.shared = Shared(self.module, self.destinations, self.lives, self._ended)
        front = PlatformFront(self.shared)
        self.listener = Listener(config.listen, front.serve, front.turn_away)

    def _want_watch(self) -> None:
        self.destinations.want_watch()

    def _ended(self, record: Record) -> None:
        log.info("%s", record)

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        stopping = asyncio.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stopping.set)
        runs = (self.module.run, self.destinations.run, self.listener.run)
        actors = [asyncio.ensure_future(run()) for run in runs]
        waiting = asyncio.ensure_future(stopping.wait())
        await asyncio.wait((*actors, waiting), return_when=asyncio.FIRST_COMPLETED)
        for actor in actors:
            if actor.done():
                actor.result()  # an actor that ends by itself is a fault: let it be seen
        await self.lives.drain()
        await self.listener.finish(0.1)
        await self.discovery.stop()
        for actor in actors:
            actor.cancel()
        await asyncio.wait(actors)
