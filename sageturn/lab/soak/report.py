"""Runs plans one after the other, and prints the figures and violations of each run."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from pathlib import Path
from tempfile import TemporaryDirectory

import uvloop

from sageturn.lab.soak.auditor import Violation
from sageturn.lab.soak.plan import SoakPlan
from sageturn.lab.soak.records import ClientEnd, Evidence
from sageturn.lab.soak.soak_run import SoakRun

MAX_SHOWN = 12  # violations of one run


def play_all(plans: Iterable[SoakPlan], keep: Path | None, write: Callable[[str], None]) -> bool:
    """Runs all plans. Returns whether no rule was broken.

    ``keep`` is the folder that gets one folder for each seed; None to keep nothing.
    """
    broken: Counter[str] = Counter()
    for plan in plans:
        with TemporaryDirectory(prefix="sageturn-soak-") as temporary:
            folder = Path(temporary) / "run" if keep is None else keep / f"seed-{plan.seed}"
            run = SoakRun(plan, folder)
            violations = uvloop.run(run.play())
        for line in describe(run, violations):
            write(line)
        broken.update(violation.rule.value for violation in violations)
    write(
        "rules broken: " + (", ".join(f"{rule} {count}" for rule, count in sorted(broken.items())) or "none")
    )
    return not broken


def describe(run: SoakRun, violations: list[Violation]) -> list[str]:
    """Returns the report of one run: its faults, its figures, and the first broken rules."""
    plan = run.plan
    faults = Counter(fault.kind.value for fault in plan.faults)
    lines = [
        f"seed {plan.seed} ({', '.join((plan.effect, *plan.variants))}): "
        + ", ".join(f"{name} x{count}" for name, count in sorted(faults.items())),
        "  " + summarize(run.evidence) + f"; {len(violations)} violations",
    ]
    lines += [
        f"  BROKEN {violation.rule.value}: {violation.subject}: {violation.detail}"
        for violation in violations[:MAX_SHOWN]
    ]
    if len(violations) > MAX_SHOWN:
        lines.append(f"  and {len(violations) - MAX_SHOWN} more")
    return lines


def summarize(evidence: Evidence) -> str:
    """Returns the figures of one run."""
    clients = [client for client in evidence.clients if not client.is_bad and client.end != ClientEnd.REFUSED]
    established = sum(client.is_established for client in clients)
    rejected = sum(client.answer.startswith("BUSY") for client in clients)
    failed = sum(client.answer.startswith("ERR") for client in clients)
    attempts = sum(bool(attempt.request) for attempt in evidence.attempts)
    moved = sum(client.is_moved for client in clients)
    return (
        f"{len(clients)} requests, {established} served, {rejected} rejected, {failed} failed,"
        f" {attempts} attempts, {len(evidence.relays)} relay processes, {moved} moved"
    )
