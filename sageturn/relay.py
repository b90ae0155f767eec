"""Puts core, sockets and fronts together, and runs them until a signal."""

from __future__ import annotations

import asyncio
import logging
import signal
from collections import Counter
from collections.abc import Callable, Coroutine
from dataclasses import replace
from random import Random
from typing import TYPE_CHECKING

from sageturn.config.errors import ConfigError
from sageturn.config.platform import RelayConfig
from sageturn.core.balancer_actor import BalancerActor
from sageturn.core.clock import Clock
from sageturn.core.connection_record import ConnectionRecord
from sageturn.core.context import RelayContext
from sageturn.core.endpoint_registry import EndpointRegistry
from sageturn.core.endpoint_snapshot import OperatorMarks
from sageturn.core.messages import DiscoveryAddressChanged
from sageturn.core.request_registry import RequestRegistry
from sageturn.core.shutdown_schedule import shutdown_schedule
from sageturn.core.tasks import cancel_and_wait
from sageturn.flows.exporter import FlowExporter
from sageturn.frontends.platform.frontend import PlatformFrontend
from sageturn.frontends.xmpp.accounts import Accounts
from sageturn.frontends.xmpp.frontend import XmppFrontend
from sageturn.net.admission import AdmissionController
from sageturn.net.descriptors import DESCRIPTOR_RESERVE, set_descriptor_limit
from sageturn.net.discovery import DiscoveryClient
from sageturn.net.listener import Listener
from sageturn.store.records import StoreRecord
from sageturn.store.store import Store

if TYPE_CHECKING:  # read in once the settings allow it, or an operator's file turns it on
    from sageturn.net.health_check_client import HealthCheckClient
    from sageturn.overrides.actor import OverrideActor
    from sageturn.rebalance.driver import Rebalancer
    from sageturn.store.replication.member import ReplicationMember

log = logging.getLogger(__name__)

LOG_LEVEL = "config/log_level"
STATE_S = 5.0
START_S = 0.001
SIGNALS = {signal.SIGHUP, signal.SIGTERM, signal.SIGINT}


class RelayIngress:
    """All listeners of the relay, as its graceful shutdown sees them."""

    def __init__(self, listeners: list[Listener], admission: AdmissionController) -> None:
        self.listeners = listeners
        self._admission = admission

    def pending_connections(self) -> int:
        return self._admission.awaiting_request

    def stop_accepting(self) -> None:
        for listener in self.listeners:
            listener.stop_accepting()
        self._admission.evict_all_pending()

    async def wait_closed(self, timeout_s: float) -> None:
        await asyncio.gather(*(listener.wait_until_idle(timeout_s) for listener in self.listeners))


class Relay:
    def __init__(
        self, config: RelayConfig, read_again: Callable[[RelayConfig], RelayConfig] | None = None
    ) -> None:
        """``read_again`` reads the configuration anew, given the one in force."""
        self.config, self._read_again = config, read_again
        self.reload_requested = asyncio.Event()
        self.balancer_actor = BalancerActor(config.settings, config.seed, Clock(), self._want_watch)
        operator = config.operator
        self.store = Store(config.name, operator.store_path)
        self.overrides = self._make_overrides()
        self.endpoint_registry = EndpointRegistry(
            config.known_endpoints,
            self.overrides.tell if self.overrides else self.balancer_actor.post_event,
            config.settings.discovery == "push",
        )
        if self.overrides is not None:
            self.endpoint_registry.is_out_of_service = self.overrides.out
        self.discovery = DiscoveryClient(config.discovery, self.endpoint_registry.on_watch_event)
        self.endpoint_registry.watcher = self.discovery
        self.request_registry = RequestRegistry(shutdown_schedule(config.settings.classes))
        self._actors: list[asyncio.Future[None]] = []
        self._fallen: asyncio.Queue[BaseException] = asyncio.Queue()  # what has ended an actor
        self.context = RelayContext(
            self.balancer_actor, self.endpoint_registry, self.request_registry, self._ended
        )
        front = PlatformFrontend(self.context)
        self.admission = AdmissionController(config.limits)
        self.listener = Listener(config.listen, front.serve, front.rejection, self.admission)
        self.store.on_change.append(self._changed)
        self.replication = self._make_replica()
        self.flow_exporter = FlowExporter(operator.flows) if operator.flows else None
        self.xmpp_listener: Listener | None = None
        self._second: XmppFrontend | None = None
        if operator.xmpp is not None:
            self._second = XmppFrontend(self.context, operator.xmpp, Accounts(self.store))
            self.xmpp_listener = Listener(
                operator.xmpp.listen, self._second.serve, self._second.rejection, self.admission
            )
        listeners = [listener for listener in (self.listener, self.xmpp_listener) if listener is not None]
        self.ingress = RelayIngress(listeners, self.admission)
        self._counts: Counter[str] = Counter()
        self.rebalancer: Rebalancer | None = None
        self.health_check_client = self._make_prober()
        self._set_log_level()

    def _want_watch(self) -> None:
        self.endpoint_registry.request_watch()

    def _changed(self, records: list[StoreRecord]) -> None:
        if any(record.key == LOG_LEVEL for record in records):
            self._set_log_level()

    def _set_log_level(self) -> None:
        """The store's word on it goes for every node; one that is no level is passed over."""
        level = self.store.get(LOG_LEVEL)
        if level in ("DEBUG", "INFO", "WARNING", "ERROR"):
            logging.getLogger().setLevel(level)

    def _make_overrides(self) -> OverrideActor | None:
        options = self.config.operator.overrides
        if options is None:
            return None
        from sageturn.overrides.actor import OverrideActor

        overrides = OverrideActor(
            self.balancer_actor, options, self.store, self._tell("overrides"), self._mark
        )
        self.store.on_change.append(overrides.changed)
        return overrides

    def _make_replica(self) -> ReplicationMember | None:
        options = self.config.operator.replication
        if options is None:
            return None
        from sageturn.store.replication.member import ReplicationMember

        # Members of one fleet may share a seed, and must not do the same at the same moment.
        rng = Random(f"{self.config.seed}/{self.config.name}")
        return ReplicationMember(self.store, options, self.admission, rng)

    def _make_prober(self) -> HealthCheckClient | None:
        settings = self.config.settings
        if not settings.probes:
            return None
        from sageturn.net.health_check_client import HealthCheckClient

        prober = HealthCheckClient(
            self.endpoint_registry.addresses,
            settings.report_fields,
            settings.connect_timeout_ms / 1000.0,
            settings.keepalive_ms / 1000.0,
            self.balancer_actor.post_event,
            self.context.invalid_report_values,
        )
        self.balancer_actor.check_endpoint_health = prober.start_check
        return prober

    def _mark(self, marks: OperatorMarks) -> None:
        """Operators have marked hosts: clearing one needs a planner, whatever its own mode."""
        if self.rebalancer is not None:
            self.rebalancer.marks = marks

    def _tell(self, what: str) -> Callable[[dict[str, object]], None]:
        """Puts a part's state where an operator can read it at any replica."""
        key = f"state/{self.store.node}/{what}"

        def tell(state: dict[str, object]) -> None:
            if state != self.store.get(key):
                self.store.put(key, state)

        return tell

    def _set_rebalancing(self) -> None:
        """As the operator's file has it now. Once on it goes on looking, so as to know who was moved."""
        options = self.config.operator.rebalance
        if self.rebalancer is not None:
            old = self.rebalancer.options
            self.rebalancer.options = options if options is not None else replace(old, mode="off")
        elif self.overrides is not None or (options is not None and options.mode != "off"):
            from sageturn.rebalance.driver import Rebalancer
            from sageturn.rebalance.options import RebalanceOptions

            seed, options = self.config.seed, options or RebalanceOptions()
            self._add_rebalancer(
                Rebalancer(self.balancer_actor, self.request_registry, options, seed, self._tell("rebalance"))
            )

    def _add_rebalancer(self, rebalancer: Rebalancer) -> None:
        self.rebalancer = rebalancer
        if self.overrides is not None:
            rebalancer.marks = self.overrides.marks
        self._own(rebalancer.run())

    async def _tell_state(self) -> None:
        """What this node has done, where an operator can read it at any replica."""
        tell = self._tell("relay")
        while True:
            standing = sum(lifecycle.is_established for lifecycle in self.request_registry)
            dropped = self.flow_exporter.dropped if self.flow_exporter else 0
            state = {
                "standing": standing,
                "ended": dict(self._counts),
                "flows_dropped": dropped,
                "reports_dropped": dict(self.context.invalid_report_values),
            }
            if self.replication is not None:
                state["store"] = self.replication.state_report()
            tell(state)
            interval_s = self.replication.state_report_interval_s if self.replication else 0.0
            await asyncio.sleep(max(STATE_S, interval_s))

    def _ended(self, record: ConnectionRecord) -> None:
        self._counts[record.close_reason.name.lower() if record.close_reason else "not_placed"] += 1
        if self.flow_exporter is not None:
            self.flow_exporter.ended(record)
        log.info(
            "%s %s %s to %s after %d calls and %.3f s: %s%s%s",
            record.frontend,
            record.request.client_request_id or "-",
            record.request.class_name,
            record.endpoint or "nobody",
            record.attempts,
            (record.ended_ms - record.started_ms) / 1000.0,
            record.close_reason.name if record.close_reason else "not placed",
            f", quiet for {record.endpoint_idle_s:.3f} s" if record.was_established else "",
            f", {record.final_response}" if record.final_response else "",
        )

    async def _reloads(self) -> None:
        """Signals that come while one is dealt with are dealt with together by the next reading."""
        while True:
            await self.reload_requested.wait()
            self.reload_requested.clear()
            if self._read_again is None:
                continue
            try:
                with DESCRIPTOR_RESERVE.borrow():  # clients may hold all other descriptors
                    new = self._read_again(self.config)
            except ConfigError as error:
                log.error("configuration not taken, the old one stays in force: %s", error)
                continue
            except Exception:
                # A fault that no check foresaw must not end the relay either.
                log.exception("configuration not taken, the old one stays in force")
                continue
            await self.apply_config(new)

    async def apply_config(self, new: RelayConfig) -> None:
        """Nothing here can fail half way: all of it was checked when it was read."""
        old, self.config = self.config, new
        set_descriptor_limit(new.limits.sockets)
        self.admission.limits = new.limits
        if self._second is not None and new.operator.xmpp is not None:
            self._second.options = new.operator.xmpp
        self._set_rebalancing()
        if self.overrides is not None and new.operator.overrides is not None:
            self.overrides.set_options(new.operator.overrides, self.store)
        if new.discovery != old.discovery:
            self.discovery.set_address(new.discovery)
            await self.endpoint_registry.post_message(DiscoveryAddressChanged())
        kept = old.keys_needing_restart(new)
        log.info("configuration taken%s", f"; kept until a restart: {', '.join(kept)}" if kept else "")

    def _own(self, running: Coroutine[None, None, None]) -> None:
        """An actor that ends by itself is a fault, whenever it was begun: it must not go unseen."""

        def ended(actor: asyncio.Future[None]) -> None:
            if not actor.cancelled() and (error := actor.exception()) is not None:
                self._fallen.put_nowait(error)

        actor = asyncio.ensure_future(running)
        self._actors.append(actor)
        actor.add_done_callback(ended)

    async def _while_sound(self, waiting: Coroutine[None, None, object]) -> None:
        """Until it returns; raises what ended an actor before."""
        done = asyncio.ensure_future(waiting)
        fallen = asyncio.ensure_future(self._fallen.get())
        try:
            await asyncio.wait((done, fallen), return_when=asyncio.FIRST_COMPLETED)
            if fallen.done():
                raise fallen.result()
            await done
        finally:
            await cancel_and_wait(fallen)
            await cancel_and_wait(done)

    def start(self) -> None:
        runs = [
            self.balancer_actor.run,
            self.endpoint_registry.run,
            self.listener.run,
            self._tell_state,
            self._reloads,
        ]
        if self.overrides is not None:
            runs.append(self.overrides.run)
        if self.xmpp_listener is not None:
            runs.append(self.xmpp_listener.run)
        if self.flow_exporter is not None:
            runs.append(self.flow_exporter.run)
        if self.replication is not None:
            self.replication.start()
        for listener in self.ingress.listeners:
            listener.start_listening()
        for run in runs:
            self._own(run())
        self._set_rebalancing()

    async def stop(self) -> None:
        """At once: whatever still stands is cut off."""
        await self.discovery.stop()
        if self.health_check_client is not None:
            await self.health_check_client.stop()
        if self.replication is not None:
            await self.replication.stop()
        for actor in self._actors:
            await cancel_and_wait(actor)
        for listener in self.ingress.listeners:
            listener.close()
            await listener.cancel_connections()
        self.store.close()

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        stopping = asyncio.Event()
        for number in SIGNALS - {signal.SIGHUP}:
            loop.add_signal_handler(number, stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload_requested.set)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)  # those held back since the start come now
        set_descriptor_limit(self.config.limits.sockets)
        # The loop turns before anybody can connect: a front sends clients to a relay that was killed
        # as soon as it listens, and those it keeps waiting for its own start lose that much of their time.
        await asyncio.sleep(START_S)
        if not stopping.is_set():  # else told to go before anybody could come
            self.start()
            await self._while_sound(stopping.wait())
            await self._while_sound(self.request_registry.drain(self.ingress))
        await self.stop()
