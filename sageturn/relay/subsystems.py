"""Subsystems for XMPP, discovery, replication and health checks, and for single actors.

Optional parts are imported only if the settings or the operator's file enable them.
"""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from random import Random
from typing import TYPE_CHECKING

from sageturn.config.platform import RelayConfig
from sageturn.core.endpoint_registry import EndpointRegistry
from sageturn.core.messages import DiscoveryAddressChanged
from sageturn.core.relay_context import RelayContext
from sageturn.frontends.xmpp.accounts import Accounts
from sageturn.frontends.xmpp.frontend import XmppFrontend
from sageturn.net.admission import AdmissionController
from sageturn.net.discovery import DiscoveryClient
from sageturn.net.listener import Listener
from sageturn.relay.subsystem import Subsystem
from sageturn.relay.supervisor import ActorSupervisor
from sageturn.store.store import Store

if TYPE_CHECKING:
    from sageturn.net.health_check_client import HealthCheckClient
    from sageturn.store.replication.member import ReplicationMember


class ActorSubsystem(Subsystem):
    """Subsystem of a single actor, which runs from the relay's start to its stop."""

    def __init__(self, name: str, run: Callable[[], Coroutine[None, None, None]]) -> None:
        """``name`` is the name of the actor in the log."""
        self._name = name
        self._run = run

    def start(self, actors: ActorSupervisor) -> None:
        """Run the actor."""
        actors.spawn(self._name, self._run())


class XmppSubsystem(Subsystem):
    """Subsystem of the XMPP frontend; ``RelayIngress`` opens and closes its listener."""

    def __init__(
        self, config: RelayConfig, context: RelayContext, store: Store, admission: AdmissionController
    ) -> None:
        self.listener: Listener | None = None
        self._frontend: XmppFrontend | None = None
        options = config.operator.xmpp
        if options is not None:
            self._frontend = XmppFrontend(context, options, Accounts(store))
            self.listener = Listener(
                options.listen,
                self._frontend.serve,
                self._frontend.rejection,
                admission,
                self._frontend.standing_bytes,
            )

    def start(self, actors: ActorSupervisor) -> None:
        """Start the listener's actor, if XMPP is enabled."""
        if self.listener is not None:
            actors.spawn("xmpp_listener", self.listener.run())

    async def reload(self, old: RelayConfig, new: RelayConfig) -> None:
        """Apply the new XMPP options to new clients."""
        if self._frontend is not None and new.operator.xmpp is not None:
            self._frontend.options = new.operator.xmpp


class DiscoverySubsystem(Subsystem):
    """Subsystem that applies a new address of discovery, and stops the discovery client."""

    def __init__(self, client: DiscoveryClient, endpoint_registry: EndpointRegistry) -> None:
        self._client = client
        self._endpoint_registry = endpoint_registry

    async def reload(self, old: RelayConfig, new: RelayConfig) -> None:
        """Restart the watch at the new address, if discovery's address has changed."""
        if new.discovery != old.discovery:
            self._client.set_address(new.discovery)
            await self._endpoint_registry.post_message(DiscoveryAddressChanged())

    async def stop(self) -> None:
        """Stop the watch."""
        await self._client.stop()


class ReplicationSubsystem(Subsystem):
    """Subsystem of this node's replication member; ``member`` is None if the store isn't replicated."""

    def __init__(self, config: RelayConfig, store: Store, admission: AdmissionController) -> None:
        self.member: ReplicationMember | None = None
        options = config.operator.replication
        if options is not None:
            from sageturn.store.replication.member import ReplicationMember

            # The members of a fleet may have the same configured seed. With the name added, their random
            # delays differ, so that they do not act at the same moment.
            rng = Random(f"{config.seed}/{config.name}")
            self.member = ReplicationMember(store, options, admission, rng)

    def start(self, actors: ActorSupervisor) -> None:
        """Start the member, if there is one."""
        if self.member is not None:
            self.member.start()

    async def stop(self) -> None:
        """Stop the member, if there is one."""
        if self.member is not None:
            await self.member.stop()

    def state(self) -> dict[str, object] | None:
        """Return the member's part of the state record; None if the store isn't replicated."""
        return None if self.member is None else self.member.state_report()

    def state_interval_s(self) -> float:
        """Return the minimum seconds between two state reports; they grow with the number of members."""
        return 0.0 if self.member is None else self.member.state_report_interval_s


class HealthCheckSubsystem(Subsystem):
    """Subsystem of the health check client; ``client`` is None if the settings don't allow health checks."""

    def __init__(self, config: RelayConfig, context: RelayContext) -> None:
        self.client: HealthCheckClient | None = None
        settings = config.settings
        if settings.probes:
            from sageturn.net.health_check_client import HealthCheckClient

            self.client = HealthCheckClient(
                context.endpoint_registry.addresses,
                settings.report_fields,
                settings.connect_timeout_ms / 1000.0,
                settings.keepalive_ms / 1000.0,
                context.balancer_actor.post_event,
                context.invalid_report_values,
            )

    def start_check(self, endpoint: str) -> None:
        """Send a health check to an endpoint, if allowed. Called by the balancer's actor."""
        if self.client is not None:
            self.client.start_check(endpoint)

    async def stop(self) -> None:
        """Stop all health checks, if any."""
        if self.client is not None:
            await self.client.stop()
