"""The input of one tick of the planner."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from sageturn.core.endpoint_snapshot import EndpointRestrictions, EndpointSnapshot
from sageturn.rebalance.batches import EligibilityRules
from sageturn.rebalance.event_tracker import EventTracker
from sageturn.rebalance.migration_round import MigrationCapacity, MigrationRound
from sageturn.rebalance.options import RebalanceMode, RebalanceOptions
from sageturn.rebalance.rate_controller import MigrationRateController


@dataclass(frozen=True, slots=True)
class TickContext:
    """The instant, the endpoints and settings of a tick, and the planner's parts that it draws on."""

    now_ms: float
    endpoints: Sequence[EndpointSnapshot]
    options: RebalanceOptions
    restrictions: EndpointRestrictions
    tracker: EventTracker
    rate_controller: MigrationRateController

    @property
    def is_dry_run(self) -> bool:
        """Whether balancing is planned and explained, but not carried out."""
        return self.options.mode != RebalanceMode.ON

    def migration_capacity(self) -> MigrationCapacity:
        """Returns the set-ups that migrated clients may take now."""
        return MigrationCapacity.of(self.endpoints, self.tracker.history.in_flight_count)

    def start_round(self, capacity: MigrationCapacity, dry_run: bool) -> MigrationRound:
        """Returns an empty round of migrations within this capacity."""
        return MigrationRound(self.tracker, self.rate_controller, self.now_ms, capacity.available, dry_run)

    def eligibility_rules(self) -> EligibilityRules:
        """Returns the rules by which connections may be migrated at this instant."""
        return EligibilityRules(self.now_ms, self.options, self.tracker.history, self.tracker.migrating)
