"""Audit events: what became of overrides and of their records, for the log."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class AuditAction(StrEnum):
    """What became of an override, or (rejected) of a record that is no valid operation."""

    SET = "set"
    EXTENDED = "extended"
    REVOKED = "revoked"
    EXPIRED = "expired"
    SUSPENDED = "suspended"
    RESUMED = "resumed"
    REJECTED = "rejected"


@dataclass(frozen=True, slots=True)
class AuditEvent:
    """One event on one override; ``detail`` says by whom, why, or until when."""

    action: AuditAction
    override_id: str
    detail: str
