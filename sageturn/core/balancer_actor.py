"""The only caller of ``Balancer``: owns its clock, its timers and the requests' ids."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from sageturn import decision
from sageturn.core.clock import Clock
from sageturn.core.endpoint_snapshot import EndpointSnapshot, snapshot_endpoints
from sageturn.core.invariants import Invariant, InvariantMonitor
from sageturn.core.messages import CancelAttempt, FinalResponse, Instruction, RedirectClient, StartAttempt
from sageturn.core.request_counters import RequestCounters
from sageturn.decision.balancer import Balancer

log = logging.getLogger(__name__)

MAX_QUEUED_EVENTS = 4096  # far more than all connections can have in flight at once
MAX_QUEUED_INSTRUCTIONS = 8  # a response, an attempt and a redirect are all that can be due together
REQUEST_ID_COUNT = 1 << 32  # as many as the simulator's protocol has


class BalancerObserver(Protocol):
    """Sees every event of the balancer and its actions. It decides nothing, and may never block."""

    def before_event(self, now_ms: float, event: decision.Event) -> None:
        """May fill in fields of a request's event, before the balancer gets it."""

    def after_event(self, now_ms: float, event: decision.Event, actions: Sequence[decision.Action]) -> None:
        """The balancer has decided; its actions are about to be carried out."""

    def on_migrated_by_others(self, now_ms: float, request_id: int) -> None:
        """A graceful shutdown migrates a connection, which the balancer has not asked for."""


@dataclass(slots=True, eq=False)
class RequestHandle:
    """What the balancer's actor and the lifecycle of one request share."""

    id: int  # by which the balancer knows the request
    log_id: str  # as the client named its request; the digits of ``id`` where it did not
    instructions: asyncio.Queue[Instruction] = field(
        default_factory=lambda: asyncio.Queue(MAX_QUEUED_INSTRUCTIONS)
    )


def ignore_health_check(endpoint: str) -> None:
    """Stands in for a client of health checks where the settings allow none."""


class BalancerActor:
    """Feeds the balancer with events one by one, and turns its actions into instructions to requests."""

    def __init__(
        self,
        settings: decision.Settings,
        seed: int,
        clock: Clock,
        request_watch: Callable[[], None],
        check_endpoint_health: Callable[[str], None] = ignore_health_check,
    ) -> None:
        """Make the balancer; ``run`` starts the actor.

        Args:
            settings: what the operators allow the balancer.
            seed: of the balancer's random choices.
            clock: the relay's time, which all events carry.
            request_watch: called when the balancer wants to be notified of changes of the endpoint list.
            check_endpoint_health: sends a health check to an endpoint.
        """
        self.settings = settings
        self.classes = {cls.name: cls for cls in settings.classes}
        self.clock = clock
        self._balancer = Balancer(settings, seed)
        self._request_watch = request_watch
        self._mailbox: asyncio.Queue[decision.Event] = asyncio.Queue(MAX_QUEUED_EVENTS)
        self._requests: dict[int, RequestHandle] = {}
        self._last_id = 0
        self._timers: set[asyncio.TimerHandle] = set()
        self.placements: list[tuple[int, str]] | None = None  # tests record every placement here
        self.observers: list[BalancerObserver] = []
        # Shared by all requests of the relay.
        self.monitor = InvariantMonitor()
        self.counters = RequestCounters()
        self._known_overdrawn_turns = 0
        self.check_endpoint_health = check_endpoint_health

    # ------------------------------------------------------------ for requests and other parts

    @property
    def balancer(self) -> Balancer:
        """For tests and measurements, which may look at its state; only the actor calls it."""
        return self._balancer

    @property
    def request_count(self) -> int:
        """How many requests are registered now."""
        return len(self._requests)

    def new_request(self, client_request_id: str) -> RequestHandle:
        """Register a request, which gets its instructions until ``remove_request``.

        Args:
            client_request_id: as the client named its request; empty where it did not.
        """
        self._last_id = (self._last_id + 1) % REQUEST_ID_COUNT
        handle = RequestHandle(self._last_id, client_request_id or str(self._last_id))
        self._requests[handle.id] = handle
        return handle

    def remove_request(self, request_id: int) -> None:
        """Forget a request that has ended; later instructions for it are dropped."""
        self._requests.pop(request_id, None)

    async def post_event(self, event: decision.Event) -> None:
        """Waits while the mailbox is full: backpressure on whoever floods it."""
        await self._mailbox.put(event)

    def migrate_connection(self, request_id: int) -> None:
        """Have an established connection's client reconnect, as a migration of the balancer's own does."""
        self._instruct(request_id, RedirectClient())

    def notify_migrated_by_shutdown(self, request_id: int) -> None:
        """Called by a request whose client a graceful shutdown sends elsewhere."""
        for observer in self.observers:
            observer.on_migrated_by_others(self.clock.now_ms(), request_id)

    def snapshot_endpoints(self, names: Iterable[str] | None = None) -> list[EndpointSnapshot]:
        """The endpoints as the balancer sees them now: all that are not gone, or those named."""
        return snapshot_endpoints(self._balancer, self.clock.now_ms(), names)

    # ------------------------------------------------------------ the actor

    async def run(self) -> None:
        """Handle events until cancelled."""
        try:
            while True:
                self._handle(await self._mailbox.get())
        finally:
            for timer in self._timers:
                timer.cancel()

    def _handle(self, event: decision.Event) -> None:
        now_ms = self.clock.now_ms()
        for observer in list(self.observers):
            self._notify(observer, observer.before_event, now_ms, event)
        try:
            actions = self._balancer.handle(now_ms, event)
        except Exception:
            self._fail_event(event)
            return
        for observer in list(self.observers):
            self._notify(observer, observer.after_event, now_ms, event, actions)
        for action in actions:
            try:
                self._act(action)
            except Exception:
                # The other actions can still be carried out.
                log.exception(
                    "action failed action=%s request=%s",
                    type(action).__name__,
                    self._log_id(getattr(action, "id", None)),
                )

    def _fail_event(self, event: decision.Event) -> None:
        """One event that the balancer fails on must not cost all other requests their connections."""
        request_id: int | None = getattr(event, "id", None)
        log.exception("balancer failed event=%s request=%s", type(event).__name__, self._log_id(request_id))
        if request_id is not None:
            self._instruct(request_id, FinalResponse(rejected=False, reason="internal"))

    def _notify(self, observer: BalancerObserver, callback: Callable[..., None], *arguments: object) -> None:
        """An observer that fails is removed: no decision may wait for it, or be lost with it."""
        try:
            callback(*arguments)
        except Exception:
            log.exception("observer failed and was removed observer=%s", type(observer).__name__)
            self.observers.remove(observer)

    def _act(self, action: decision.Action) -> None:
        match action:
            case decision.PlaceRequest(request_id, endpoint, timeout_ms):
                self._check_slow_start(request_id, endpoint)
                if self.placements is not None:
                    self.placements.append((request_id, endpoint))
                self._instruct(request_id, StartAttempt(endpoint, timeout_ms))
            case decision.RejectRequest(request_id, retry_after_ms):
                response = FinalResponse(rejected=True, retry_after_ms=retry_after_ms, cause=self._cause())
                self._instruct(request_id, response)
            case decision.FailRequest(request_id):
                response = FinalResponse(rejected=False, reason="unavailable", cause=self._cause())
                self._instruct(request_id, response)
            case decision.AbandonAttempt(request_id, _):
                self._instruct(request_id, CancelAttempt())
            case decision.MigrateConnection(request_id):
                self._instruct(request_id, RedirectClient())
            case decision.SetTimer(delay_ms, mark):
                self._set_timer(delay_ms, mark)
            case decision.WatchEndpoints():
                self._request_watch()
            case decision.CheckHealth(endpoint):
                self.check_endpoint_health(endpoint)

    def _cause(self) -> str:
        """Why the balancer has just ended a request."""
        cause = self._balancer.reject_cause
        return "" if cause is None else cause.value

    def _check_slow_start(self, request_id: int, endpoint: str) -> None:
        overdrawn = self._balancer.fleet.slow_start.overdrawn_turns
        if overdrawn > self._known_overdrawn_turns:
            self._known_overdrawn_turns = overdrawn
            self.monitor.report_violation(
                Invariant.SLOW_START_TURN,
                self._log_id(request_id),
                f"{endpoint} was sent an attempt without a turn",
            )

    def _instruct(self, request_id: int, instruction: Instruction) -> None:
        handle = self._requests.get(request_id)
        if handle is None:
            return  # the connection closed before the balancer was told
        try:
            handle.instructions.put_nowait(instruction)
        except asyncio.QueueFull:
            log.error("instruction lost, mailbox full request=%s instruction=%r", handle.log_id, instruction)

    def _log_id(self, request_id: int | None) -> str:
        """The id by which the log names a request; ``-`` for what belongs to none."""
        if request_id is None:
            return "-"
        handle = self._requests.get(request_id)
        return str(request_id) if handle is None else handle.log_id

    def _set_timer(self, delay_ms: float, mark: str) -> None:
        def on_timer() -> None:
            self._timers.discard(handle)
            self._handle(decision.TimerFired(mark))

        handle = asyncio.get_running_loop().call_later(delay_ms / 1000.0, on_timer)
        self._timers.add(handle)
