"""The state of a member's replication, as it is published for operators. No I/O, no clock."""

from __future__ import annotations

from dataclasses import dataclass

MIN_REPORTED_SILENCE_S = 10.0
SILENCE_STEP_S = 10  # coarse, so that few reports are changes to replicate
MAX_FLEET_REPORTS_PER_S = 10.0  # of all members together, since each goes to every member


@dataclass(frozen=True, slots=True)
class ReplicationStateReport:
    """The state of one member's replication.

    ``zone_ages_s`` has the seconds since something was last heard from each zone.
    """

    link_count: int
    recently_in_sync: bool
    zone_ages_s: dict[str, float]

    def encode(self) -> dict[str, object]:
        """Returns the report as it stands in the state record that the relay writes."""
        return {
            "links": self.link_count,
            "in_step": self.recently_in_sync,
            "silent_s": self._silent_zones_s(),
        }

    def _silent_zones_s(self) -> dict[str, int]:
        return {
            zone: int(age_s // SILENCE_STEP_S * SILENCE_STEP_S)
            for zone, age_s in self.zone_ages_s.items()
            if age_s >= MIN_REPORTED_SILENCE_S
        }


def report_interval_s(member_count: int) -> float:
    """Returns the seconds that a member waits between two reports."""
    return member_count / MAX_FLEET_REPORTS_PER_S
