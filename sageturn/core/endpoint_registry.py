"""The actor that holds the endpoint list: addresses and states, and the control of the discovery watch."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import replace
from typing import Protocol

from sageturn import decision
from sageturn.core.clock import Clock
from sageturn.core.messages import (
    DiscoveryAddressChanged,
    EndpointListUpdate,
    RegistryMessage,
    WatchEvent,
    WatchFailed,
    WatchRequested,
)
from sageturn.core.start_times import StartTimes
from sageturn.decision import EndpointStatus, ListEventKind

log = logging.getLogger(__name__)

MAX_QUEUED_MESSAGES = 64
WATCH_REQUEST_RETRY_S = 0.5
MAX_GONE_ADDRESSES = 512  # more than the largest release replaces at once


def drop_unaddressed(
    update: EndpointListUpdate, known_addresses: Mapping[str, tuple[str, int]]
) -> EndpointListUpdate:
    """Return the list without ready endpoints that have no address: no attempt can be sent to them.

    Args:
        update: the list, or its changes.
        known_addresses: of earlier lists, which hold for an entry without one.
    """
    usable = []
    for endpoint in update.endpoints:
        is_addressed = endpoint.name in update.addresses or endpoint.name in known_addresses
        if is_addressed or endpoint.state != EndpointStatus.READY:
            usable.append(endpoint)
        else:
            log.warning("endpoint has no address endpoint=%s version=%d", endpoint.name, update.version)
    return update if len(usable) == len(update.endpoints) else replace(update, endpoints=usable)


class DiscoveryWatcher(Protocol):
    """Holds a watch on the endpoint list open, and reports to ``EndpointRegistry.on_watch_event``."""

    def start(self, after_version: int) -> int:
        """Begin a watch in place of the previous one; returns the number under which it reports."""


def never_out_of_service(_endpoint: str) -> bool:
    """Stands in for operators' overrides where they are off."""
    return False


class EndpointRegistry:
    """Keeps the endpoint list of one relay, and controls the watch that keeps it current."""

    def __init__(
        self,
        known: EndpointListUpdate,
        post_event: Callable[[decision.Event], Awaitable[None]],
        watcher: DiscoveryWatcher | None = None,
        *,
        pushed: bool = False,
        clock: Clock | None = None,
        is_out_of_service: Callable[[str], bool] = never_out_of_service,
    ) -> None:
        """Start from the list ``known``; ``run`` starts the actor.

        Args:
            known: the list of the configuration, or an empty one.
            post_event: takes what the balancer is to be notified of.
            watcher: opens watches; None where the list comes by ``apply_update`` alone.
            pushed: changes come without a request of the balancer; on sockets by a watch, opened at once.
            clock: the balancer's, to whose time start times are converted.
            is_out_of_service: whether an operator has taken an endpoint out of service.
        """
        self._start_times = StartTimes(clock or Clock())
        self._mailbox: asyncio.Queue[RegistryMessage] = asyncio.Queue(MAX_QUEUED_MESSAGES)
        self._post_event = post_event
        known = drop_unaddressed(known, {})
        self._known = known
        self._pushed = pushed
        self.version = known.version
        self.addresses = dict(known.addresses)
        self.states = {endpoint.name: endpoint.state for endpoint in known.endpoints}
        self.has_ready_endpoint = asyncio.Event()
        self.is_out_of_service = is_out_of_service
        self._watcher = watcher
        self.watch_number = 0  # of the watch that is open, or was opened last
        self._is_watch_open = False  # it was started, and has not been reported to have failed

    async def post_message(self, message: RegistryMessage) -> None:
        """Queue a message for ``run``; waits while the mailbox is full."""
        await self._mailbox.put(message)

    async def on_watch_event(self, watch_number: int, event: EndpointListUpdate | WatchFailed) -> None:
        """Queue what a watch reports; waits while the mailbox is full, which holds that watch back."""
        await self._mailbox.put(WatchEvent(watch_number, event))

    def is_ready_at(self, endpoint: str, address: tuple[str, int]) -> bool:
        """Return whether an attempt that took long to connect may still send its request to ``endpoint``.

        An endpoint that was gone and is listed again under its name may be another process, at another
        ``address`` than the attempt connected to.
        """
        if self.addresses.get(endpoint) != address:
            return False
        is_ready = self.states.get(endpoint) == EndpointStatus.READY
        return is_ready and not self.is_out_of_service(endpoint)

    def request_watch(self) -> None:
        """Ask for the next watch. Never waits: it is called by the balancer's actor."""
        try:
            self._mailbox.put_nowait(WatchRequested())
        except asyncio.QueueFull:
            log.error("endpoint registry mailbox full retry_s=%.1f", WATCH_REQUEST_RETRY_S)
            asyncio.get_running_loop().call_later(WATCH_REQUEST_RETRY_S, self.request_watch)

    async def run(self) -> None:
        """Handle messages until cancelled; the balancer is given the known list first."""
        self._update_readiness()
        known = self._start_times.convert(self._known.endpoints, is_full=True, is_current=False)
        await self._post_event(decision.EndpointListEvent(ListEventKind.STALE, known))
        if self._pushed:
            self._start_watch()
        while True:
            match await self._mailbox.get():
                case WatchRequested():
                    # A watch is open already if discovery's address has changed since the balancer set its
                    # timer. Replacing it would lose its call's place in discovery's queue.
                    if not self._is_watch_open:
                        self._start_watch()
                case DiscoveryAddressChanged():
                    # Versions at the new address need not continue the old ones, so a full list is needed.
                    # The known list stays in use until that has come.
                    self.version = 0
                    self._start_watch()
                case WatchEvent(watch_number, WatchFailed() as failed):
                    await self._on_watch_failed(watch_number, failed)
                case WatchEvent(watch_number, EndpointListUpdate() as update):
                    await self._on_update(watch_number, update)

    def apply_update(self, update: EndpointListUpdate) -> None:
        """Take over addresses and states from ``update``; the balancer is not notified here."""
        # Addresses of those gone are kept: an attempt may be placed in the moment before the balancer knows.
        self.addresses.update(update.addresses)
        if update.full:
            self.states.clear()
        self.states.update({endpoint.name: endpoint.state for endpoint in update.endpoints})
        self._forget_old_endpoints()
        self._update_readiness()

    def _forget_old_endpoints(self) -> None:
        """Drop the oldest addresses of endpoints that are gone: each release brings new names."""
        for name in [name for name, state in self.states.items() if state == EndpointStatus.GONE]:
            del self.states[name]
        if len(self.addresses) > len(self.states) + MAX_GONE_ADDRESSES:
            gone = [name for name in self.addresses if name not in self.states]
            for name in gone[:-MAX_GONE_ADDRESSES]:
                del self.addresses[name]

    async def _on_watch_failed(self, watch_number: int, failed: WatchFailed) -> None:
        # The failure of a watch that was replaced is expected, and must not end the new one.
        is_replaced = watch_number != self.watch_number
        log.info(
            "discovery watch failed failure=%s watch=%d replaced=%s reason=%s",
            failed.failure.name.lower(),
            watch_number,
            str(is_replaced).lower(),
            failed.reason,
        )
        if not is_replaced:
            self._is_watch_open = False
            await self._post_event(decision.EndpointListEvent(ListEventKind.FAILED, [], failed.failure))

    async def _on_update(self, watch_number: int, update: EndpointListUpdate) -> None:
        # What a replaced watch had still reported is known from then on. But the version from which the next
        # watch continues is set by the new one alone: its source may count otherwise.
        if watch_number == self.watch_number:
            self.version = update.version
        update = drop_unaddressed(update, self.addresses)
        self.apply_update(update)
        log.info(
            "endpoint list updated version=%d watch=%d replaced=%s full=%s changed=%d listed=%d",
            update.version,
            watch_number,
            str(watch_number != self.watch_number).lower(),
            str(update.full).lower(),
            len(update.endpoints),
            len(self.states),
        )
        endpoints = self._start_times.convert(
            update.endpoints, is_full=update.full, confirmed_age_ms=update.confirmed_age_ms
        )
        kind = ListEventKind.FULL if update.full else ListEventKind.CHANGES
        await self._post_event(decision.EndpointListEvent(kind, endpoints))

    def _start_watch(self) -> None:
        if self._watcher is not None:
            self.watch_number = self._watcher.start(self.version)
            self._is_watch_open = True

    def _update_readiness(self) -> None:
        """Note that the relay is of use to clients, once any endpoint takes their requests."""
        if EndpointStatus.READY in self.states.values():
            self.has_ready_endpoint.set()
