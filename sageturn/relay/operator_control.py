"""Subsystems through which operators control a relay: overrides, and the rebalancing of connections.

The packages of both are imported only if the operator's file enables them.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING

from sageturn.config.platform import RelayConfig
from sageturn.core.balancer_actor import BalancerActor
from sageturn.core.endpoint_snapshot import EndpointRestrictions
from sageturn.core.request_registry import RequestRegistry
from sageturn.relay.state_record import make_state_publisher
from sageturn.relay.subsystem import Subsystem
from sageturn.relay.supervisor import ActorSupervisor
from sageturn.store.store import Store

if TYPE_CHECKING:
    from sageturn.overrides.actor import OverrideActor
    from sageturn.rebalance.driver import Rebalancer
    from sageturn.rebalance.options import RebalanceOptions


class OverridesSubsystem(Subsystem):
    """Subsystem of the overrides' actor; ``actor`` is None if the operator's file disables overrides."""

    def __init__(
        self,
        config: RelayConfig,
        balancer_actor: BalancerActor,
        store: Store,
        on_restrictions: Callable[[EndpointRestrictions], None],
    ) -> None:
        self.actor: OverrideActor | None = None
        self._store = store
        options = config.operator.overrides
        if options is not None:
            from sageturn.overrides.actor import OverrideActor

            publish = make_state_publisher(store, "overrides")
            self.actor = OverrideActor(balancer_actor, options, store, publish, on_restrictions)
            store.on_change.append(self.actor.on_store_change)

    def start(self, actors: ActorSupervisor) -> None:
        """Start the actor, if overrides are enabled."""
        if self.actor is not None:
            actors.spawn("overrides", self.actor.run())

    async def reload(self, old: RelayConfig, new: RelayConfig) -> None:
        """Apply the overrides' options of the new configuration."""
        if self.actor is not None and new.operator.overrides is not None:
            self.actor.set_options(new.operator.overrides, self._store)


def _is_enabled(options: RebalanceOptions | None) -> bool:
    if options is None:
        return False
    from sageturn.rebalance.options import RebalanceMode

    return options.mode != RebalanceMode.OFF


class RebalancingSubsystem(Subsystem):
    """Subsystem that creates the rebalancer when it is first needed, and runs it from then on.

    A rebalancer that is turned off again continues to observe, so that it knows which connections were
    migrated.
    """

    def __init__(
        self,
        config: RelayConfig,
        balancer_actor: BalancerActor,
        request_registry: RequestRegistry,
        store: Store,
    ) -> None:
        self.rebalancer: Rebalancer | None = None
        self._has_overrides = config.operator.overrides is not None
        self._restrictions = EndpointRestrictions()
        self._config = config
        self._balancer_actor = balancer_actor
        self._request_registry = request_registry
        self._store = store
        self._actors: ActorSupervisor | None = None

    def start(self, actors: ActorSupervisor) -> None:
        """Start the rebalancer, if it is needed from the start."""
        self._actors = actors
        self.apply_options(self._config.operator.rebalance, actors)

    async def reload(self, old: RelayConfig, new: RelayConfig) -> None:
        """Apply the rebalancing options of the new configuration."""
        self._config = new
        if self._actors is not None:
            self.apply_options(new.operator.rebalance, self._actors)

    def apply_options(self, options: RebalanceOptions | None, actors: ActorSupervisor) -> None:
        """Apply the current options; None turns rebalancing off. Overrides need a rebalancer in any mode."""
        if self.rebalancer is not None:
            from sageturn.rebalance.options import RebalanceMode

            old = self.rebalancer.options
            self.rebalancer.options = options or replace(old, mode=RebalanceMode.OFF)
        elif self._has_overrides or _is_enabled(options):
            from sageturn.rebalance.driver import Rebalancer
            from sageturn.rebalance.options import RebalanceOptions

            self.run_rebalancer(self.make_rebalancer(Rebalancer, options or RebalanceOptions()), actors)

    def make_rebalancer(self, rebalancer_type: type[Rebalancer], options: RebalanceOptions) -> Rebalancer:
        """Return a new rebalancer of this class; the laboratory passes a subclass."""
        publish = make_state_publisher(self._store, "rebalance")
        return rebalancer_type(
            self._balancer_actor, self._request_registry, options, self._config.seed, publish
        )

    def run_rebalancer(self, rebalancer: Rebalancer, actors: ActorSupervisor) -> None:
        """Use this rebalancer from now on, and run it as an actor."""
        self.rebalancer = rebalancer
        rebalancer.restrictions = self._restrictions
        actors.spawn("rebalancer", rebalancer.run())

    def set_restrictions(self, restrictions: EndpointRestrictions) -> None:
        """Set the endpoints that operators restrict. Called by the overrides' actor on each change."""
        self._restrictions = restrictions
        if self.rebalancer is not None:
            self.rebalancer.restrictions = restrictions
