"""Runner of a sequence of plans, and text report of the figures and violations of each run."""

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

MAX_SHOWN_VIOLATIONS = 12  # limit for one run


def play_all(plans: Iterable[SoakPlan], keep: Path | None, write: Callable[[str], None]) -> bool:
    """Run all plans, and return whether no rule was broken.

    ``keep`` is the folder in which each seed's files are retained, in a subfolder; None discards them.
    """
    broken: Counter[str] = Counter()
    for plan in plans:
        with TemporaryDirectory(prefix="sageturn-soak-") as temporary:
            folder = Path(temporary) / "run" if keep is None else keep / f"seed-{plan.seed}"
            run = SoakRun(plan, folder)
            violations = uvloop.run(run.execute())
        for line in describe_run(run, violations):
            write(line)
        broken.update(violation.rule.value for violation in violations)
    write(
        "rules broken: " + (", ".join(f"{rule} {count}" for rule, count in sorted(broken.items())) or "none")
    )
    return not broken


def describe_run(run: SoakRun, violations: list[Violation]) -> list[str]:
    """Return the report of one run: its faults, its figures and the first violations."""
    plan = run.plan
    faults = Counter(fault.kind.value for fault in plan.faults)
    lines = [
        f"seed {plan.seed} ({', '.join((plan.effect, *plan.variants))}): "
        + ", ".join(f"{name} x{count}" for name, count in sorted(faults.items())),
        "  " + summarize_evidence(run.evidence) + f"; {len(violations)} violations",
    ]
    lines += [
        f"  BROKEN {violation.rule.value}: {violation.subject}: {violation.detail}"
        for violation in violations[:MAX_SHOWN_VIOLATIONS]
    ]
    if len(violations) > MAX_SHOWN_VIOLATIONS:
        lines.append(f"  and {len(violations) - MAX_SHOWN_VIOLATIONS} more")
    return lines


def summarize_evidence(evidence: Evidence) -> str:
    """Return the figures of one run."""
    accepted = [
        client for client in evidence.clients if not client.is_bad and client.end != ClientEnd.REFUSED
    ]
    adopted = [client for client in accepted if client.adopted_endpoint]
    clients = [client for client in accepted if not client.adopted_endpoint]
    established = sum(client.is_established for client in clients)
    rejected = sum(client.answer.startswith("BUSY") for client in clients)
    failed = sum(client.answer.startswith("ERR") for client in clients)
    attempts = sum(bool(attempt.request) for attempt in evidence.attempts)
    moved = sum(client.is_moved for client in clients)
    return (
        f"{len(clients)} requests, {established} served, {rejected} rejected, {failed} failed,"
        f" {attempts} attempts, {len(evidence.relays)} relay processes, {moved} moved,"
        f" {sum(client.is_established for client in adopted)} of {len(adopted)} adopted"
    )
