"""The destination set: the list's actor. It keeps addresses, and passes on what the list says."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import Protocol

from sageturn import decision
from sageturn.core.messages import (
    DiscoveryAddressChanged,
    EndpointListUpdate,
    RegistryMessage,
    WatchEvent,
    WatchFailed,
    WatchRequested,
)

log = logging.getLogger(__name__)

MAILBOX = 64


class DiscoveryWatcher(Protocol):
    """Whatever can hold a watch on the list open; it reports into the destination set's mailbox."""

    def start(self, after_version: int) -> int:
        """Begin a watch in place of the one before; returns the number under which it reports."""


class EndpointRegistry:
    def __init__(
        self,
        known: EndpointListUpdate,
        tell: Callable[[decision.Event], Awaitable[None]],
        pushed: bool = False,
    ) -> None:
        """``pushed``: changes come unasked for. On sockets a watch brings them, open at once."""
        self._mailbox: asyncio.Queue[RegistryMessage] = asyncio.Queue(MAILBOX)
        self._tell = tell
        self._known, self._pushed = known, pushed
        self.version = known.version
        self.addresses = dict(known.addresses)
        self._states = {s.name: s.state for s in known.endpoints}
        self.usable = asyncio.Event()
        self.out: Callable[[str], bool] = lambda endpoint: False  # whether an operator took it out of service
        self.watcher: DiscoveryWatcher | None = None
        self._watch = 0  # the number of the one that is open, or was opened last

    async def put(self, message: RegistryMessage) -> None:
        await self._mailbox.put(message)

    async def on_watch_event(self, watch: int, said: EndpointListUpdate | WatchFailed) -> None:
        await self._mailbox.put(WatchEvent(watch, said))

    def ready(self, endpoint: str, address: tuple[str, int]) -> bool:
        """For a call that takes long to set up: whether the endpoint may still be given work there.

        One that was gone and is back under its id may be another process by now, at another address.
        """
        here = self.addresses.get(endpoint) == address and self._states.get(endpoint) == "ready"
        return here and not self.out(endpoint)

    def want_watch(self) -> None:
        """Called by the module's actor, which must never wait for this one."""
        try:
            self._mailbox.put_nowait(WatchRequested())
        except asyncio.QueueFull:
            log.error("the list's mailbox is full; the watch is asked for a little later")
            asyncio.get_running_loop().call_later(0.5, self.want_watch)

    async def run(self) -> None:
        self._see_usable()
        await self._tell(decision.EndpointListEvent("stale", self._known.endpoints))
        if self._pushed:
            self._start()
        while True:
            match await self._mailbox.get():
                case WatchRequested():
                    self._start()
                case DiscoveryAddressChanged():
                    # Its versions need not go on from those of the old one: only a whole list is sure to
                    # tell all. What is known stays in use until it has come.
                    self.version = 0
                    self._start()
                case WatchEvent(watch, WatchFailed(why, failure)):
                    # That one which was replaced has failed is no news, and must not end the new one.
                    replaced = "" if watch == self._watch else " (replaced)"
                    log.info("watch: %s, %s%s", failure.name.lower(), why, replaced)
                    if watch == self._watch:
                        await self._tell(decision.EndpointListEvent("failed", [], failure))
                case WatchEvent(watch, EndpointListUpdate() as news):
                    # What a replaced one had still told is known from then on, but where the next call
                    # goes on from is the new one's to say: its source may count otherwise.
                    if watch == self._watch:
                        self.version = news.version
                    self._take(news)
                    await self._tell(
                        decision.EndpointListEvent("full" if news.full else "changes", news.endpoints)
                    )

    def _start(self) -> None:
        if self.watcher is not None:
            self._watch = self.watcher.start(self.version)

    def _take(self, news: EndpointListUpdate) -> None:
        # Addresses of those gone are kept: a call may be placed in the moment before the module hears.
        self.addresses.update(news.addresses)
        if news.full:
            self._states.clear()
        self._states.update({s.name: s.state for s in news.endpoints})
        self._see_usable()

    def _see_usable(self) -> None:
        """A relay is of use to clients once there is anywhere to place them."""
        if "ready" in self._states.values():
            self.usable.set()
