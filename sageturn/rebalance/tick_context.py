"""Input of one tick of the planner."""

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
    """Time, endpoints and settings of a tick, and the components of the planner that the tick uses."""

    now_ms: float
    endpoints: Sequence[EndpointSnapshot]
    options: RebalanceOptions
    restrictions: EndpointRestrictions
    tracker: EventTracker
    rate_controller: MigrationRateController

    @property
    def is_dry_run(self) -> bool:
        """True if balancing is planned and explained, but not carried out."""
        return self.options.mode != RebalanceMode.ON

    def migration_capacity(self) -> MigrationCapacity:
        """Return the number of set-ups that migrated clients may use now."""
        return MigrationCapacity.from_endpoints(self.endpoints, self.tracker.history.in_flight_count)

    def start_round(self, capacity: MigrationCapacity, dry_run: bool) -> MigrationRound:
        """Return an empty round of migrations, limited to this capacity."""
        return MigrationRound(self.tracker, self.rate_controller, self.now_ms, capacity.available, dry_run)

    def eligibility_rules(self) -> EligibilityRules:
        """Return the rules that decide which connections may be migrated in this tick."""
        return EligibilityRules(
            self.now_ms, self.options, self.tracker.history, self.tracker.migrating_request_ids
        )
