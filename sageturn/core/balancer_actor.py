"""The module's actor: the only caller of ``Balancer``. It owns its clock, its timers and its ids."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable, Sequence
from typing import Protocol

from sageturn import decision
from sageturn.core.clock import Clock
from sageturn.core.endpoint_snapshot import EndpointSnapshot, snapshot_endpoints
from sageturn.core.messages import CancelAttempt, FinalResponse, Instruction, RedirectClient, StartAttempt
from sageturn.decision.balancer import Balancer

log = logging.getLogger(__name__)

MAILBOX = 4096  # events waiting; far more than all connections can have out at once
REQUEST_MAILBOX = 8  # an answer, a call and a move are all that can be due together
SIM_IDS = 1 << 32


class BalancerObserver(Protocol):
    """Sees all that passes between the module and its events. It decides nothing, and may never wait."""

    def before_event(self, now_ms: float, event: decision.Event) -> None:
        """May say more in a request, before the module gets it."""

    def after_event(
        self, now_ms: float, event: decision.Event, actions: Sequence[decision.Action]
    ) -> None: ...

    def on_migrated_by_others(self, now_ms: float, request_id: int) -> None:
        """A stop of the relay moves a connection, unasked by the module."""


class BalancerActor:
    """Turns messages into the module's events, and its actions into messages."""

    def __init__(
        self, settings: decision.Settings, seed: int, clock: Clock, watch: Callable[[], None]
    ) -> None:
        self.settings = settings
        self.classes = {c.name: c for c in settings.classes}
        self.clock = clock
        self._balancer = Balancer(settings, seed)
        self._watch = watch
        self._mailbox: asyncio.Queue[decision.Event] = asyncio.Queue(MAILBOX)
        self._requests: dict[int, asyncio.Queue[Instruction]] = {}
        self._last_id = 0
        self._timers: set[asyncio.TimerHandle] = set()
        self.placements: list[tuple[int, str]] | None = None  # a test's record of every Send
        self.observers: list[BalancerObserver] = []
        # Sends a health check to an endpoint; the relay sets it where the settings allow health checks.
        self.check_endpoint_health: Callable[[str], None] = lambda endpoint: None

    # ------------------------------------------------------------ for others

    def new_request(self) -> tuple[int, asyncio.Queue[Instruction]]:
        self._last_id = (self._last_id + 1) % SIM_IDS
        mailbox: asyncio.Queue[Instruction] = asyncio.Queue(REQUEST_MAILBOX)
        self._requests[self._last_id] = mailbox
        return self._last_id, mailbox

    def remove_request(self, request_id: int) -> None:
        self._requests.pop(request_id, None)

    async def post_event(self, event: decision.Event) -> None:
        """Waits while the mailbox is full, so that whoever floods it is held back."""
        await self._mailbox.put(event)

    def migrate_connection(self, request_id: int) -> None:
        """Ask a standing connection's client to come again, as a move of the module's own does."""
        self._instruct(request_id, RedirectClient())

    def notify_migrated_by_shutdown(self, request_id: int) -> None:
        for observer in self.observers:
            observer.on_migrated_by_others(self.clock.now_ms(), request_id)

    def snapshot_endpoints(self, names: Iterable[str] | None = None) -> list[EndpointSnapshot]:
        """The hosts as the module believes them to be; all that are not gone, or those named."""
        return snapshot_endpoints(self._balancer, self.clock.now_ms(), names)

    # ------------------------------------------------------------ the actor

    async def run(self) -> None:
        try:
            while True:
                self._handle(await self._mailbox.get())
        finally:
            for timer in self._timers:
                timer.cancel()

    def _handle(self, event: decision.Event) -> None:
        now_ms = self.clock.now_ms()
        for observer in list(self.observers):
            self._attend(observer, observer.before_event, now_ms, event)
        try:
            actions = self._balancer.handle(now_ms, event)
        except Exception:
            # One event that the module cannot take must not cost all the others their connections.
            log.exception("the module failed on %s", type(event).__name__)
            owner = getattr(event, "id", None)
            if owner is not None:
                self._instruct(owner, FinalResponse(rejected=False, reason="internal"))
            return
        for observer in list(self.observers):
            self._attend(observer, observer.after_event, now_ms, event, actions)
        for action in actions:
            try:
                self._act(action)
            except Exception:
                log.exception("%s could not be done", type(action).__name__)  # the others still can

    def _attend(self, observer: BalancerObserver, hear: Callable[..., None], *what: object) -> None:
        """A companion that fails is let go: no decision may wait for it, or be lost with it."""
        try:
            hear(*what)
        except Exception:
            log.exception("a companion of the module failed, and is no longer told anything")
            self.observers.remove(observer)

    def _act(self, action: decision.Action) -> None:
        match action:
            case decision.PlaceRequest(request_id, endpoint, timeout_ms):
                if self.placements is not None:
                    self.placements.append((request_id, endpoint))
                self._instruct(request_id, StartAttempt(endpoint, timeout_ms))
            case decision.RejectRequest(request_id, retry_after_ms):
                self._instruct(request_id, FinalResponse(rejected=True, retry_after_ms=retry_after_ms))
            case decision.FailRequest(request_id):
                self._instruct(request_id, FinalResponse(rejected=False, reason="unavailable"))
            case decision.AbandonAttempt(request_id, _):
                self._instruct(request_id, CancelAttempt())
            case decision.MigrateConnection(request_id):
                self._instruct(request_id, RedirectClient())
            case decision.SetTimer(delay_ms, mark):
                self._set_timer(delay_ms, mark)
            case decision.WatchEndpoints():
                self._watch()
            case decision.CheckHealth(endpoint):
                self.check_endpoint_health(endpoint)

    def _instruct(self, request_id: int, instruction: Instruction) -> None:
        mailbox = self._requests.get(request_id)
        if mailbox is None:
            return  # the connection ended while the module still thought it stood
        try:
            mailbox.put_nowait(instruction)
        except asyncio.QueueFull:
            log.error("request %d left its mailbox unread; %r is lost", request_id, instruction)

    def _set_timer(self, delay_ms: float, mark: str) -> None:
        def due() -> None:
            self._timers.discard(handle)
            self._handle(decision.TimerFired(mark))

        handle = asyncio.get_running_loop().call_later(delay_ms / 1000.0, due)
        self._timers.add(handle)
