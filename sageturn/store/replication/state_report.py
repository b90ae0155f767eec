"""What a member tells operators about its replication, and how often. No I/O, no clock."""

from __future__ import annotations

from dataclasses import dataclass

MIN_REPORTED_SILENCE_S = 10.0
SILENCE_STEP_S = 10  # coarse, or each report would be a change that has to be replicated
MAX_FLEET_REPORTS_PER_S = 10.0  # each goes to every member, so the more members, the rarer each one's


@dataclass(frozen=True, slots=True)
class ReplicationStateReport:
    """The state of one member's replication."""

    link_count: int
    recently_in_sync: bool
    zone_ages_s: dict[str, float]  # by zone, the time since something was last heard from it

    def encode(self) -> dict[str, object]:
        """As it stands in the state record that the relay writes."""
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
    """How long a member waits between two reports, so that those of the whole fleet stay few."""
    return member_count / MAX_FLEET_REPORTS_PER_S
