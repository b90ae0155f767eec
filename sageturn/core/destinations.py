"""The destination set: the list's actor. It keeps addresses, and passes on what the list says."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import Protocol

from sageturn import interface as api
from sageturn.core.messages import Listed, ListMessage, SourceMoved, WatchFailed, WatchWanted

log = logging.getLogger(__name__)

MAILBOX = 64


class Watcher(Protocol):
    """Whatever can hold a watch on the list open; it reports into the destination set's mailbox."""

    def start(self, after_version: int) -> None: ...


class DestinationSet:
    def __init__(self, known: Listed, tell: Callable[[api.Event], Awaitable[None]]) -> None:
        self._mailbox: asyncio.Queue[ListMessage] = asyncio.Queue(MAILBOX)
        self._tell = tell
        self._known = known
        self.version = known.version
        self.addresses = dict(known.addresses)
        self._states = {s.name: s.state for s in known.servers}
        self.usable = asyncio.Event()
        self.out: Callable[[str], bool] = lambda endpoint: False  # whether an operator took it out of service
        self.watcher: Watcher | None = None

    async def put(self, message: ListMessage) -> None:
        await self._mailbox.put(message)

    def ready(self, endpoint: str) -> bool:
        """For a call that takes long to set up: whether the endpoint may still be given work."""
        return self._states.get(endpoint) == "ready" and not self.out(endpoint)

    def want_watch(self) -> None:
        """Called by the module's actor, which must never wait for this one."""
        try:
            self._mailbox.put_nowait(WatchWanted())
        except asyncio.QueueFull:
            log.error("the list's mailbox is full; the watch is asked for a little later")
            asyncio.get_running_loop().call_later(0.5, self.want_watch)

    async def run(self) -> None:
        self._see_usable()
        await self._tell(api.ServerList("stale", self._known.servers))
        while True:
            match await self._mailbox.get():
                case WatchWanted():
                    if self.watcher is not None:
                        self.watcher.start(self.version)
                case SourceMoved():
                    # Its versions need not go on from those of the old one: only a whole list is sure to
                    # tell all. What is known stays in use until it has come.
                    self.version = 0
                    if self.watcher is not None:
                        self.watcher.start(self.version)
                case WatchFailed(why):
                    log.info("watch: %s", why)
                    await self._tell(api.ServerList("failed", []))
                case Listed() as news:
                    self._take(news)
                    await self._tell(api.ServerList("full" if news.full else "changes", news.servers))

    def _take(self, news: Listed) -> None:
        self.version = news.version
        # Addresses of those gone are kept: a call may be placed in the moment before the module hears.
        self.addresses.update(news.addresses)
        if news.full:
            self._states.clear()
        self._states.update({s.name: s.state for s in news.servers})
        self._see_usable()

    def _see_usable(self) -> None:
        """A relay is of use to clients once there is anywhere to place them."""
        if "ready" in self._states.values():
            self.usable.set()
