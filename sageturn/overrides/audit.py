"""Collects audit events about overrides and their records, for the log."""

from __future__ import annotations

from collections.abc import Container, Mapping
from dataclasses import dataclass
from enum import StrEnum

from sageturn.overrides.model import Override


class AuditAction(StrEnum):
    """Kind of an audit event; ``REJECTED`` concerns a record that is not a valid operation."""

    SET = "set"
    EXTENDED = "extended"
    REVOKED = "revoked"
    EXPIRED = "expired"
    SUSPENDED = "suspended"
    RESUMED = "resumed"
    REJECTED = "rejected"


@dataclass(frozen=True, slots=True)
class AuditEvent:
    """Audit event on one override; ``detail`` gives the operator, the reason or the expiry."""

    action: AuditAction
    override_id: str
    detail: str


class AuditTrail:
    """Buffer of audit events until the actor logs them."""

    def __init__(self) -> None:
        self.events: list[AuditEvent] = []
        self._reported_suspended: dict[str, str] = {}

    def take_events(self) -> list[AuditEvent]:
        """Return the events since the last call, and empty the buffer."""
        events = self.events
        self.events = []
        return events

    def record_rejection(self, key: str, override_id: str, reason: str) -> None:
        """Record that the record under ``key`` is rejected as an operation."""
        self._record(AuditAction.REJECTED, override_id, f"{key}: {reason}")

    def record_update(self, previous: Override | None, current: Override, now_ms: float) -> None:
        """Record that operations have set, extended or revoked an override.

        An override that had already ended when this relay received it causes no event.
        """
        if previous is None and (current.is_revoked or current.has_expired(now_ms)):
            return
        expiry = f"{current.expires_at_ms:.0f}"
        if current.is_revoked:
            if previous is not None and not previous.is_revoked:
                self._record(AuditAction.REVOKED, current.id, f"by {current.revoked_by}")
        elif previous is None:
            forced = ", forced" if current.forced else ""
            detail = f"by {current.created_by} until {expiry}{forced}: {current.reason}"
            self._record(AuditAction.SET, current.id, detail)
        elif current.expires_at_ms != previous.expires_at_ms:
            self._record(AuditAction.EXTENDED, current.id, f"by {current.expiry_set_by} until {expiry}")

    def record_expiry(self, override: Override) -> None:
        """Record that an override's expiry has passed."""
        self._record(AuditAction.EXPIRED, override.id, f"set by {override.created_by}: {override.reason}")

    def record_suspensions(self, suspended: Mapping[str, str], active_ids: Container[str]) -> None:
        """Record which overrides were suspended or resumed since the last call.

        Args:
            suspended: Reasons of the current suspensions, by override id.
            active_ids: Ids of the overrides that have not ended. An override that ended while suspended
                is not recorded as resumed.
        """
        for override_id in suspended.keys() - self._reported_suspended.keys():
            self._record(AuditAction.SUSPENDED, override_id, suspended[override_id])
        for override_id in self._reported_suspended.keys() - suspended.keys():
            if override_id in active_ids:
                self._record(AuditAction.RESUMED, override_id, "capacity is sufficient again")
        self._reported_suspended = dict(suspended)

    def _record(self, action: AuditAction, override_id: str, detail: str) -> None:
        self.events.append(AuditEvent(action, override_id, detail))
