"""The composition root: builds the relay's subsystems, and runs them until a signal stops the relay."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

from sageturn.config.platform import RelayConfig
from sageturn.core.balancer_actor import BalancerActor
from sageturn.core.clock import Clock
from sageturn.core.endpoint_registry import EndpointRegistry, never_out_of_service
from sageturn.core.handled_signals import HANDLED_SIGNALS, SHUTDOWN_SIGNALS
from sageturn.core.messages import EndpointListUpdate, WatchFailed
from sageturn.core.relay_context import RelayContext
from sageturn.core.request_registry import RequestRegistry
from sageturn.core.shutdown_schedule import plan_shutdown
from sageturn.decision import DiscoveryMode
from sageturn.flows.exporter import FlowExporter
from sageturn.frontends.platform.frontend import PlatformFrontend
from sageturn.net.admission import AdmissionController
from sageturn.net.descriptors import set_descriptor_limit
from sageturn.net.discovery import DiscoveryClient
from sageturn.net.listener import Listener
from sageturn.relay.closed_connections import ClosedConnections
from sageturn.relay.connection_memory import ConnectionMemoryMonitor
from sageturn.relay.counter_report import CounterReporter
from sageturn.relay.ingress import RelayIngress
from sageturn.relay.operator_control import OverridesSubsystem, RebalancingSubsystem
from sageturn.relay.reload import ConfigReloader, ReadConfig, log_config_applied
from sageturn.relay.state_record import RelayState, RelayStateReporter, make_state_publisher
from sageturn.relay.stored_log_level import StoredLogLevel
from sageturn.relay.subsystem import Subsystem
from sageturn.relay.subsystems import (
    ActorSubsystem,
    DiscoverySubsystem,
    HealthCheckSubsystem,
    ReplicationSubsystem,
    XmppSubsystem,
)
from sageturn.relay.supervisor import ActorSupervisor
from sageturn.store.store import Store

if TYPE_CHECKING:
    from sageturn.net.health_check_client import HealthCheckClient
    from sageturn.overrides.actor import OverrideActor
    from sageturn.rebalance.driver import Rebalancer
    from sageturn.store.replication.member import ReplicationMember

# The delay lets the event loop handle pending signals before the relay listens, since a front proxy sends
# clients as soon as it does.
START_DELAY_S = 0.001


class Relay:
    """A relay. The constructor binds its sockets; clients are served between ``start`` and ``stop``."""

    rebalancing_type = RebalancingSubsystem  # overridden by the laboratory

    def __init__(self, config: RelayConfig, read_config: ReadConfig | None = None) -> None:
        """``read_config`` rereads the configuration, given the one in force; None disables reloads."""
        self.config = config
        self._actors = ActorSupervisor()
        self.balancer_actor = BalancerActor(
            config.settings, config.seed, Clock(), self._request_watch, self._check_endpoint_health
        )
        self.store = Store(config.name, config.operator.store_path)
        self.request_registry = RequestRegistry(plan_shutdown(config.settings.classes))
        self._rebalancing = self.rebalancing_type(
            config, self.balancer_actor, self.request_registry, self.store
        )
        self._overrides = OverridesSubsystem(
            config, self.balancer_actor, self.store, self._rebalancing.set_restrictions
        )
        self.discovery = DiscoveryClient(config.discovery, self._on_watch_event)
        self.endpoint_registry = self._make_endpoint_registry()
        self.flow_exporter = FlowExporter(config.operator.flows) if config.operator.flows else None
        self.closed_connections = ClosedConnections(self.flow_exporter)
        self.context = RelayContext(
            self.balancer_actor,
            self.endpoint_registry,
            self.request_registry,
            self.closed_connections.on_connection_closed,
        )
        frontend = PlatformFrontend(self.context)
        self.admission = AdmissionController(config.limits)
        self.listener = Listener(config.listen, frontend.serve, frontend.rejection, self.admission)
        log_level = StoredLogLevel(self.store)
        self.store.on_change.append(log_level.on_store_change)
        self._replication = ReplicationSubsystem(config, self.store, self.admission)
        self._xmpp = XmppSubsystem(config, self.context, self.store, self.admission)
        listeners = [self.listener] if self._xmpp.listener is None else [self.listener, self._xmpp.listener]
        self.ingress = RelayIngress(listeners, self.admission)
        self._health_checks = HealthCheckSubsystem(config, self.context)
        self._discovery = DiscoverySubsystem(self.discovery, self.endpoint_registry)
        self.state_reporter = self._make_state_reporter()
        self._reloader = ConfigReloader(lambda: self.config, read_config, self.apply_config)
        self.subsystems = self._list_subsystems()
        log_level.apply()

    def _make_endpoint_registry(self) -> EndpointRegistry:
        """Return the registry. Its events pass through the overrides' actor, if any, to the balancer."""
        overrides = self._overrides.actor
        return EndpointRegistry(
            self.config.initial_endpoints,
            self.balancer_actor.post_event if overrides is None else overrides.post_event,
            self.discovery,
            is_list_pushed=self.config.settings.discovery == DiscoveryMode.PUSH,
            clock=self.balancer_actor.clock,
            is_out_of_service=never_out_of_service if overrides is None else overrides.is_out_of_service,
        )

    def _make_state_reporter(self) -> RelayStateReporter:
        publish = make_state_publisher(self.store, "relay")
        return RelayStateReporter(publish, self._collect_state, self._replication.state_interval_s)

    def _list_subsystems(self) -> tuple[Subsystem, ...]:
        """Return all subsystems, in the order in which they start and reload."""
        subsystems: list[Subsystem] = [
            self._replication,
            self.ingress,
            ActorSubsystem("balancer", self.balancer_actor.run),
            ActorSubsystem("endpoint_registry", self.endpoint_registry.run),
            ActorSubsystem("listener", self.listener.run),
            ActorSubsystem("state_reporter", self.state_reporter.run),
            ActorSubsystem("counter_reporter", CounterReporter(self.balancer_actor).run),
            ActorSubsystem("connection_memory", ConnectionMemoryMonitor(self.admission.memory).run),
            ActorSubsystem("config_reloader", self._reloader.run),
            self._overrides,
            self._xmpp,
        ]
        if self.flow_exporter is not None:
            subsystems.append(ActorSubsystem("flow_exporter", self.flow_exporter.run))
        return (*subsystems, self._rebalancing, self._health_checks, self._discovery)

    # ------------------------------------------------------------ optional parts

    @property
    def overrides(self) -> OverrideActor | None:
        """The overrides' actor; None if the operator's file disables overrides."""
        return self._overrides.actor

    @property
    def rebalancer(self) -> Rebalancer | None:
        """The rebalancer; None until it is first needed."""
        return self._rebalancing.rebalancer

    @property
    def replication(self) -> ReplicationMember | None:
        """This node's replication member; None if the store isn't replicated."""
        return self._replication.member

    @replication.setter
    def replication(self, member: ReplicationMember) -> None:
        """Replace the member before its start: the laboratory measures other replication protocols."""
        self._replication.member = member

    @property
    def health_check_client(self) -> HealthCheckClient | None:
        """The client that sends health checks; None if the settings don't allow them."""
        return self._health_checks.client

    @property
    def xmpp_listener(self) -> Listener | None:
        """The XMPP frontend's listener; None if XMPP is disabled."""
        return self._xmpp.listener

    @property
    def reload_requested(self) -> asyncio.Event:
        """Event that SIGHUP sets, and that is cleared once the reload has begun."""
        return self._reloader.requested

    # ------------------------------------------------------------ callbacks into parts that are created later

    def _request_watch(self) -> None:
        self.endpoint_registry.request_watch()

    def _check_endpoint_health(self, endpoint: str) -> None:
        self._health_checks.start_check(endpoint)

    async def _on_watch_event(self, watch_number: int, event: EndpointListUpdate | WatchFailed) -> None:
        await self.endpoint_registry.on_watch_event(watch_number, event)

    def _collect_state(self) -> RelayState:
        return RelayState(
            established_connections=sum(request.is_established for request in self.request_registry),
            closed_connections=self.closed_connections.counts,
            dropped_flows=self.flow_exporter.dropped_flows if self.flow_exporter else 0,
            invalid_report_values=self.context.invalid_report_values,
            replication=self._replication.state(),
        )

    # ------------------------------------------------------------ lifecycle

    def start(self) -> None:
        """Open the listeners and start every subsystem; needs a running loop."""
        for subsystem in self.subsystems:
            subsystem.start(self._actors)

    async def apply_config(self, new: RelayConfig) -> None:
        """Apply ``new``, which was validated when it was read: no step may fail and leave it half applied."""
        old = self.config
        self.config = new
        for subsystem in self.subsystems:
            await subsystem.reload(old, new)
        log_config_applied(old, new)

    async def stop(self) -> None:
        """Stop at once, and cut off connections that are still established."""
        # Subsystems that open outgoing connections stop first, then the actors, then what the actors use.
        for subsystem in (self._discovery, self._health_checks, self._replication):
            await subsystem.stop()
        await self._actors.stop()
        await self.ingress.stop()
        self.store.close()

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then drain; SIGHUP reloads the configuration.

        The failure of an actor ends the relay too: clients are asked to reconnect before the actor's error is
        raised.
        """
        loop = asyncio.get_running_loop()
        shutdown_requested = asyncio.Event()
        for shutdown_signal in SHUTDOWN_SIGNALS:
            loop.add_signal_handler(shutdown_signal, shutdown_requested.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload_requested.set)
        # Signals that arrived while they were blocked, since the start, are delivered now.
        signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)
        set_descriptor_limit(self.config.limits.sockets)
        await asyncio.sleep(START_DELAY_S)
        # A signal that arrived during the start stops the relay before it accepts clients.
        if not shutdown_requested.is_set():
            self.start()
            await self._actors.wait_until_failed_or(shutdown_requested.wait())
            await self.request_registry.drain(self.ingress, self._actors.failed)
        await self.stop()
        self._actors.raise_first_failure()
