"""Prints overrides for the commands: summaries, tables and JSON."""

from __future__ import annotations

import json
import os
from collections.abc import Iterable
from dataclasses import dataclass

from rich.console import Console
from rich.table import Table

from sageturn.cli.exit_codes import ExitCode, fail
from sageturn.cli.override_view import OverrideView
from sageturn.cli.override_writes import SubmissionResult
from sageturn.cli.times import format_duration, format_instant
from sageturn.overrides.model import Override
from sageturn.overrides.operations import OverrideKind, OverrideOperation, OverridePayload

NON_TERMINAL_WIDTH = 200  # characters per line of a table that is written to a file or a pipe
EXPIRY_EVENT = "lapse"  # event in the history, where the others are types of operations


@dataclass(frozen=True, slots=True)
class OverrideSummary:
    """The values of an override that several commands show."""

    override: Override
    status: str
    remaining: str

    def to_json(self) -> dict[str, object]:
        """Return the object that ``--json`` prints."""
        override = self.override
        return {
            "id": override.id,
            "does": describe_payload(override.payload),
            "status": self.status,
            "set_by": override.created_by,
            "set": format_instant(override.created_at_ms),
            "until": format_instant(override.expires_at_ms),
            "until_by": override.expiry_set_by,
            "left": self.remaining,
            "why": override.reason,
            "forced": override.forced,
            "revision": override.revision,
        }


@dataclass(frozen=True, slots=True)
class OverrideDetails:
    """One override, and how each relay treats it."""

    summary: OverrideSummary
    status_by_relay: dict[str, str]  # keyed by node
    suspended: dict[str, str]  # reason of the suspension by the safety limits, keyed by node

    def to_json(self) -> dict[str, object]:
        """Return the object that ``--json`` prints."""
        return {
            **self.summary.to_json(),
            "relays": self.status_by_relay,
            "suspended": self.suspended,
        }


@dataclass(frozen=True, slots=True)
class HistoryRow:
    """One operation on an override, or its expiry; texts that do not apply are empty."""

    revision: int
    event: str
    time: str
    operator: str = ""
    expires: str = ""
    reason: str = ""
    rejection: str = ""  # reason for which relays reject the operation

    def to_json(self) -> dict[str, object]:
        """Return the object that ``--json`` prints, whose keys are the columns of the table."""
        return {
            "revision": self.revision,
            "word": self.event,
            "at": self.time,
            "operator": self.operator,
            "until": self.expires,
            "why": self.reason,
            "refused": self.rejection,
        }


def summarize(view: OverrideView, override: Override) -> OverrideSummary:
    """Return the values of an override that several commands show."""
    remaining = format_duration(override.expires_at_ms - view.now_ms)
    return OverrideSummary(override, view.status(override), remaining)


def collect_details(view: OverrideView, override: Override) -> OverrideDetails:
    """Return an override with the status and the suspension that each relay reports."""
    suspended = {
        node: state.suspended[override.id]
        for node, state in view.states.items()
        if override.id in state.suspended
    }
    return OverrideDetails(summarize(view, override), view.status_by_relay(override), suspended)


def describe_payload(payload: OverridePayload) -> str:
    """Describe the effect of an override in a few words."""
    if payload.kind is OverrideKind.PIN:
        return _describe_pin(payload)
    target = f"{payload.selector.attribute} {payload.selector.value}" if payload.selector else ""
    if payload.process_started_at_ms:
        target += f" (started {format_instant(payload.process_started_at_ms)} only)"
    if payload.kind is OverrideKind.OUT_OF_SERVICE:
        cleared = ", cleared" if payload.migrate_connections else ""
        return f"out of service{cleared}: {target}"
    if payload.kind is OverrideKind.WEIGHT:
        return f"weight {payload.factor:g}: {target}"
    return f"hold: {target}"


def _describe_pin(payload: OverridePayload) -> str:
    selectors = (
        ("class", payload.class_name),
        ("tenant", payload.tenant),
        ("group", payload.group_prefix),
    )
    traffic = " ".join(f"{name} {value}" for name, value in selectors if value) or "all traffic"
    strength = "strict" if payload.strict else "preferred"
    return f"{strength} pin of {traffic} to {', '.join(payload.endpoints)}"


def print_json(value: object) -> None:
    """Print a value on one line; text is not escaped to ASCII."""
    print(json.dumps(value, ensure_ascii=False))


def print_submission(result: SubmissionResult, as_json: bool) -> None:
    """Print the relays' answers; end the command with a failure if one rejects the operation."""
    if result.rejection is not None:
        fail(ExitCode.REFUSED, result.rejection)
    operation = result.operation
    if as_json:
        print_json(
            {
                "id": operation.override_id,
                "revision": operation.revision,
                "relays": result.status_by_relay,
            }
        )
        return
    print(operation.override_id)
    for node, status in sorted(result.status_by_relay.items()):
        print(f"  {node}: {status}")


def print_list(summaries: Iterable[OverrideSummary]) -> None:
    """Print a table with a row for each override."""
    table = Table("id", "does", "status", "ends in", "until", "by", "why", box=None)
    for summary in summaries:
        override = summary.override
        table.add_row(
            override.id,
            describe_payload(override.payload),
            summary.status + (" (forced)" if override.forced else ""),
            summary.remaining,
            format_instant(override.expires_at_ms),
            override.created_by,
            override.reason,
        )
    _print_table(table)


def print_details(details: OverrideDetails) -> None:
    """Print a line for each value of ``OverrideDetails.to_json``."""
    for name, value in details.to_json().items():
        print(f"{name:10} {value}")


def history_rows(view: OverrideView, override_id: str) -> list[HistoryRow]:
    """Return a row for each operation on an override, and one for its expiry if it has expired."""
    operations = sorted(view.operations.get(override_id, []), key=lambda operation: operation.rank)
    rows = [_history_row(view, operation) for operation in operations]
    override = view.overrides.get(override_id)
    if override is not None and view.has_expired(override):
        rows.append(HistoryRow(override.revision, EXPIRY_EVENT, format_instant(override.expires_at_ms)))
    return rows


def _history_row(view: OverrideView, operation: OverrideOperation) -> HistoryRow:
    return HistoryRow(
        revision=operation.revision,
        event=operation.type.value,
        time=format_instant(operation.created_at_ms),
        operator=operation.operator,
        expires=format_instant(operation.expires_at_ms) if operation.expires_at_ms else "",
        reason=operation.reason,
        rejection=view.rejected_records.get(operation.key, ""),
    )


def print_history(rows: list[HistoryRow]) -> None:
    """Print the rows of ``history_rows``, of which there must be at least one."""
    table = Table(*rows[0].to_json(), box=None)
    for row in rows:
        table.add_row(*(str(value) for value in row.to_json().values()))
    _print_table(table)


def _print_table(table: Table) -> None:
    Console(width=None if os.isatty(1) else NON_TERMINAL_WIDTH).print(table)
