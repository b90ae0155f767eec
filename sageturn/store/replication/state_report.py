"""The state of a member's replication, as published for operators. No I/O, no clock."""

from __future__ import annotations

from dataclasses import dataclass

MIN_REPORTED_ZONE_AGE_S = 10.0
ZONE_AGE_STEP_S = 10  # ages are rounded down coarsely so that few reports are changes to replicate
MAX_FLEET_REPORTS_PER_S = 10.0  # rate of all members together, since each report goes to every member


@dataclass(frozen=True, slots=True)
class ReplicationStateReport:
    """The state of one member's replication.

    Attributes:
        link_count: The number of established links.
        recently_in_sync: True if the replica was recently in sync with the others.
        zone_ages_s: The seconds since the last message from each zone, by the zone's label.
        is_caught_up: True if clients are served; see ``CatchUpMonitor``.
        rejected_clients: The number of clients that were rejected while it had not caught up.
    """

    link_count: int
    recently_in_sync: bool
    zone_ages_s: dict[str, float]
    is_caught_up: bool = True
    rejected_clients: int = 0

    def encode(self) -> dict[str, object]:
        """Return the value of the state record that the relay writes."""
        fields: dict[str, object] = {
            "links": self.link_count,
            "in_step": self.recently_in_sync,
            "silent_s": self._unresponsive_zone_ages_s(),
        }
        if not self.is_caught_up:
            fields["catching_up"] = True
        if self.rejected_clients:
            fields["rejected_clients"] = self.rejected_clients
        return fields

    def _unresponsive_zone_ages_s(self) -> dict[str, int]:
        return {
            zone: int(age_s // ZONE_AGE_STEP_S * ZONE_AGE_STEP_S)
            for zone, age_s in self.zone_ages_s.items()
            if age_s >= MIN_REPORTED_ZONE_AGE_S
        }


def report_interval_s(member_count: int) -> float:
    """Return the interval in seconds between two reports of one member."""
    return member_count / MAX_FLEET_REPORTS_PER_S
