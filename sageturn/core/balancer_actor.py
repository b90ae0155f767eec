"""The actor that owns the ``Balancer``, its clock, its timers and the directory of requests."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable, Sequence
from typing import Protocol

from sageturn import decision
from sageturn.core.clock import Clock
from sageturn.core.endpoint_snapshot import EndpointSnapshot, snapshot_endpoints
from sageturn.core.invariants import Invariant, InvariantMonitor
from sageturn.core.messages import (
    CancelAttempt,
    FinalResponse,
    RedirectClient,
    ResponseReason,
    StartAttempt,
)
from sageturn.core.request_counters import RequestCounters
from sageturn.core.request_directory import RequestDirectory
from sageturn.decision.adoption import AdoptionPlanner
from sageturn.decision.balancer import Balancer

log = logging.getLogger(__name__)

MAX_QUEUED_EVENTS = 4096  # far more events than all connections can have in flight at once


class BalancerObserver(Protocol):
    """Observer of the balancer's events and actions. It makes no decisions and must never block."""

    def before_event(self, now_ms: float, event: decision.Event) -> None:
        """Handle an event before the balancer does; may fill in fields of a request's event."""

    def after_event(self, now_ms: float, event: decision.Event, actions: Sequence[decision.Action]) -> None:
        """Handle the balancer's decision on an event before its actions are carried out."""

    def on_migrated_by_others(self, now_ms: float, request_id: int) -> None:
        """Handle a migration that a graceful shutdown requested, not the balancer."""


def ignore_health_check(endpoint: str) -> None:
    """Send no health check; the default where the settings disable health checks."""


class BalancerActor:
    """Actor that passes events to the balancer one by one, and its actions to requests as instructions."""

    def __init__(
        self,
        settings: decision.Settings,
        seed: int,
        clock: Clock,
        request_watch: Callable[[], None],
        check_endpoint_health: Callable[[str], None] = ignore_health_check,
    ) -> None:
        """Create the balancer; ``run`` starts the actor.

        Args:
            settings: the balancer's settings.
            seed: seed of the balancer's random choices.
            clock: clock of the relay's time, by which the balancer handles events.
            request_watch: called when the balancer requests a watch on the endpoint list.
            check_endpoint_health: sends a health check to the endpoint with this name.
        """
        self.settings = settings
        self.classes = {cls.name: cls for cls in settings.classes}
        self.clock = clock
        self._balancer = Balancer(settings, seed)
        self.adoption_planner = AdoptionPlanner(settings, seed)
        self._request_watch = request_watch
        self._mailbox: asyncio.Queue[decision.Event] = asyncio.Queue(MAX_QUEUED_EVENTS)
        self.requests = RequestDirectory()
        self._timers: set[asyncio.TimerHandle] = set()
        self.observers: list[BalancerObserver] = []
        # Shared by all requests of the relay.
        self.monitor = InvariantMonitor()
        self.counters = RequestCounters()
        self._reported_overdrawn_permits = 0
        self.check_endpoint_health = check_endpoint_health

    # ------------------------------------------------------------ methods called by other subsystems

    @property
    def balancer(self) -> Balancer:
        """The balancer, for tests and measurements that read its state; only the actor may call it."""
        return self._balancer

    async def post_event(self, event: decision.Event) -> None:
        """Queue an event; wait while the mailbox is full, which applies backpressure to the sender."""
        await self._mailbox.put(event)

    def migrate_connection(self, request_id: int) -> None:
        """Migrate an established connection in the same way as a migration that the balancer requests."""
        self.requests.instruct(request_id, RedirectClient())

    def notify_migrated_by_shutdown(self, request_id: int) -> None:
        """Notify the observers that a graceful shutdown migrates the client of a request."""
        for observer in self.observers:
            observer.on_migrated_by_others(self.clock.now_ms(), request_id)

    def snapshot_endpoints(self, names: Iterable[str] | None = None) -> list[EndpointSnapshot]:
        """Return the balancer's current view of its endpoints.

        ``names`` limits them to these; None stands for all that have not been removed from the list.
        """
        return snapshot_endpoints(self._balancer, self.clock.now_ms(), names)

    def take_slow_start_permit(self, endpoint: str) -> bool:
        """Take a permit for an attempt that the balancer did not place; return False if there is none now."""
        return self._balancer.fleet.take_slow_start_permit(self.clock.now_ms(), endpoint)

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
                self._carry_out(action)
            except Exception:
                # A failed action must not prevent the remaining ones.
                log.exception(
                    "action failed action=%s request=%s",
                    type(action).__name__,
                    self.requests.log_id(getattr(action, "id", None)),
                )

    def _fail_event(self, event: decision.Event) -> None:
        """Answer only the event's own request; a fault in the balancer must not end any other connection."""
        request_id: int | None = getattr(event, "id", None)
        log.exception(
            "balancer failed event=%s request=%s", type(event).__name__, self.requests.log_id(request_id)
        )
        if request_id is not None:
            self.requests.instruct(request_id, FinalResponse(rejected=False, reason=ResponseReason.INTERNAL))

    def _notify(self, observer: BalancerObserver, callback: Callable[..., None], *arguments: object) -> None:
        """Call an observer, and remove it if it fails: its failure must not stop the balancer's decisions."""
        try:
            callback(*arguments)
        except Exception:
            log.exception("observer failed and was removed observer=%s", type(observer).__name__)
            self.observers.remove(observer)

    def _carry_out(self, action: decision.Action) -> None:
        match action:
            case decision.PlaceRequest(request_id, endpoint, timeout_ms):
                self._check_slow_start(request_id, endpoint)
                self.requests.instruct(request_id, StartAttempt(endpoint, timeout_ms))
            case decision.RejectRequest(request_id, retry_after_ms):
                response = FinalResponse(
                    rejected=True, retry_after_ms=retry_after_ms, cause=self._reject_cause()
                )
                self.requests.instruct(request_id, response)
            case decision.FailRequest(request_id):
                response = FinalResponse(
                    rejected=False, reason=ResponseReason.UNAVAILABLE, cause=self._reject_cause()
                )
                self.requests.instruct(request_id, response)
            case decision.AbandonAttempt(request_id, _):
                self.requests.instruct(request_id, CancelAttempt())
            case decision.MigrateConnection(request_id):
                self.requests.instruct(request_id, RedirectClient())
            case decision.SetTimer(delay_ms, tag):
                self._set_timer(delay_ms, tag)
            case decision.WatchEndpoints():
                self._request_watch()
            case decision.CheckHealth(endpoint):
                self.check_endpoint_health(endpoint)

    def _reject_cause(self) -> str:
        """Return the cause for which the balancer has just ended a request; empty if it gives none."""
        cause = self._balancer.reject_cause
        return "" if cause is None else cause.value

    def _check_slow_start(self, request_id: int, endpoint: str) -> None:
        """Report a violation if the balancer has just placed an attempt without a slow start permit."""
        overdrawn = self._balancer.fleet.slow_start.overdrawn_permits
        if overdrawn > self._reported_overdrawn_permits:
            self._reported_overdrawn_permits = overdrawn
            self.monitor.report_violation(
                Invariant.SLOW_START_PERMIT,
                self.requests.log_id(request_id),
                f"{endpoint} was sent an attempt without a permit",
            )

    def _set_timer(self, delay_ms: float, tag: str) -> None:
        def on_timer() -> None:
            self._timers.discard(handle)
            self._handle(decision.TimerFired(tag))

        handle = asyncio.get_running_loop().call_later(delay_ms / 1000.0, on_timer)
        self._timers.add(handle)
