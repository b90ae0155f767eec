"""The actor that holds the endpoint list with addresses and states, and controls the discovery watch."""

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
MAX_REMOVED_ADDRESSES = 512  # more endpoints than the largest release replaces at once


def drop_unaddressed(
    update: EndpointListUpdate, earlier_addresses: Mapping[str, tuple[str, int]]
) -> EndpointListUpdate:
    """Return ``update`` without ready endpoints that have no address: no attempt can be sent to them.

    Args:
        update: the complete list, or its changes.
        earlier_addresses: addresses of earlier lists, which stay valid for entries without an address.
    """
    usable = []
    for endpoint in update.endpoints:
        is_addressed = endpoint.name in update.addresses or endpoint.name in earlier_addresses
        if is_addressed or endpoint.state != EndpointStatus.READY:
            usable.append(endpoint)
        else:
            log.warning("endpoint has no address endpoint=%s version=%d", endpoint.name, update.version)
    return update if len(usable) == len(update.endpoints) else replace(update, endpoints=usable)


class DiscoveryWatcher(Protocol):
    """Client of discovery that holds a watch open and reports to ``EndpointRegistry.on_watch_event``."""

    def start(self, after_version: int) -> int:
        """Open a watch in place of the previous one; return the number under which it reports."""


def never_out_of_service(_endpoint: str) -> bool:
    """Return False for every endpoint; used where operators' overrides are disabled."""
    return False


class EndpointRegistry:
    """Endpoint list of one relay, and control of the watch that updates it."""

    def __init__(
        self,
        initial_list: EndpointListUpdate,
        post_event: Callable[[decision.Event], Awaitable[None]],
        watcher: DiscoveryWatcher | None = None,
        *,
        is_list_pushed: bool = False,
        clock: Clock | None = None,
        is_out_of_service: Callable[[str], bool] = never_out_of_service,
    ) -> None:
        """Create the registry; ``run`` starts the actor.

        Args:
            initial_list: list of the configuration, or an empty one.
            post_event: queues an event for the balancer.
            watcher: opens watches; None if updates come by ``apply_update`` only.
            is_list_pushed: True if discovery pushes changes, so that the watch is opened at the start without
                a request of the balancer.
            clock: the balancer's clock, to whose time start times are converted.
            is_out_of_service: returns whether an operator has taken an endpoint out of service.
        """
        self._start_times = StartTimes(clock or Clock())
        self._mailbox: asyncio.Queue[RegistryMessage] = asyncio.Queue(MAX_QUEUED_MESSAGES)
        self._post_event = post_event
        initial_list = drop_unaddressed(initial_list, {})
        self._initial_list = initial_list
        self._is_list_pushed = is_list_pushed
        self.version = initial_list.version
        self.addresses = dict(initial_list.addresses)
        self.states = {endpoint.name: endpoint.state for endpoint in initial_list.endpoints}
        self.has_ready_endpoint = asyncio.Event()
        self.is_out_of_service = is_out_of_service
        self._watcher = watcher
        self.watch_number = 0  # number of the watch that was opened last
        self._is_watch_open = False  # True from its start until it is reported to have failed

    async def post_message(self, message: RegistryMessage) -> None:
        """Queue a message for ``run``; wait while the mailbox is full."""
        await self._mailbox.put(message)

    async def on_watch_event(self, watch_number: int, event: EndpointListUpdate | WatchFailed) -> None:
        """Queue an event of a watch; wait while the mailbox is full, as backpressure on that watch."""
        await self._mailbox.put(WatchEvent(watch_number, event))

    def is_ready_at(self, endpoint: str, address: tuple[str, int]) -> bool:
        """Return whether an attempt that connected to ``address`` may send its request to ``endpoint``.

        An endpoint that was removed and is listed again under the same name may be another process at another
        address.
        """
        if self.addresses.get(endpoint) != address:
            return False
        is_ready = self.states.get(endpoint) == EndpointStatus.READY
        return is_ready and not self.is_out_of_service(endpoint)

    def is_leaving(self, endpoint: str) -> bool:
        """Return whether ``endpoint`` drains, was removed from the list, or was taken out of service.

        False if it was never listed.
        """
        state = self.states.get(endpoint)
        if state is None:
            return endpoint in self.addresses
        return state != EndpointStatus.READY or self.is_out_of_service(endpoint)

    def request_watch(self) -> None:
        """Request the next watch, without waiting, since the balancer's actor calls this."""
        try:
            self._mailbox.put_nowait(WatchRequested())
        except asyncio.QueueFull:
            log.error("endpoint registry mailbox full retry_s=%.1f", WATCH_REQUEST_RETRY_S)
            asyncio.get_running_loop().call_later(WATCH_REQUEST_RETRY_S, self.request_watch)

    async def run(self) -> None:
        """Send the initial list to the balancer, then handle messages until cancelled."""
        self._update_readiness()
        initial_list = self._start_times.convert(self._initial_list.endpoints, is_full=True, is_current=False)
        await self._post_event(decision.EndpointListEvent(ListEventKind.STALE, initial_list))
        if self._is_list_pushed:
            self._start_watch()
        while True:
            match await self._mailbox.get():
                case WatchRequested():
                    # A watch is open already if discovery's address has changed since the balancer set its
                    # timer. A new watch would queue at discovery again, after the calls of other relays.
                    if not self._is_watch_open:
                        self._start_watch()
                case DiscoveryAddressChanged():
                    # Versions at the new address need not continue the old ones, so a full list is requested.
                    # The current list stays in use until that arrives.
                    self.version = 0
                    self._start_watch()
                case WatchEvent(watch_number, WatchFailed() as failed):
                    await self._on_watch_failed(watch_number, failed)
                case WatchEvent(watch_number, EndpointListUpdate() as update):
                    await self._on_update(watch_number, update)

    def apply_update(self, update: EndpointListUpdate) -> None:
        """Apply the addresses and states of ``update``, without notifying the balancer."""
        # Addresses of removed endpoints are retained: the balancer may still place an attempt on one before
        # it is notified.
        self.addresses.update(update.addresses)
        if update.full:
            self.states.clear()
        self.states.update({endpoint.name: endpoint.state for endpoint in update.endpoints})
        self._drop_removed_endpoints()
        self._update_readiness()

    def _drop_removed_endpoints(self) -> None:
        """Drop removed endpoints and their oldest addresses, which would grow in number with each release."""
        for name in [name for name, state in self.states.items() if state == EndpointStatus.REMOVED]:
            del self.states[name]
        if len(self.addresses) > len(self.states) + MAX_REMOVED_ADDRESSES:
            removed = [name for name in self.addresses if name not in self.states]
            for name in removed[:-MAX_REMOVED_ADDRESSES]:
                del self.addresses[name]

    async def _on_watch_failed(self, watch_number: int, failed: WatchFailed) -> None:
        # A replaced watch is expected to fail; this must not mark the new one as failed.
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
        # Updates that a replaced watch had queued are applied too. Only the current watch sets the version
        # from which the next one continues, since its source may number versions differently.
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
        """Set ``has_ready_endpoint`` once any endpoint is ready; it is never cleared."""
        if EndpointStatus.READY in self.states.values():
            self.has_ready_endpoint.set()
