"""The soak test's plans and shims, and small runs of real processes."""

from __future__ import annotations

import ast
import os
import subprocess
import sys
import tomllib
from pathlib import Path

import msgspec
import pytest
from msgspec.structs import replace

from sageturn.config.settings import read_settings
from sageturn.lab.soak import soak_run
from sageturn.lab.soak.auditor import Rule
from sageturn.lab.soak.discovery import list_changes
from sageturn.lab.soak.plan import (
    NEVER_S,
    REQUEST_TIMEOUTS_S,
    FaultKind,
    SignalSeries,
    SoakPlan,
    SoakSize,
    Variant,
    draw_plan,
    relay_settings,
)
from sageturn.lab.soak.relays import START_SHELL
from sageturn.lab.soak.report import play_all

ROOT = Path(__file__).parents[2]

SMALL = SoakSize(relays=2, hosts=2, requests_per_s=20.0)
# Rules that do not depend on timing: other tests may load the machine, whereas a full soak runs alone.
TIMELESS_RULES = {
    Rule.ADOPTED,
    Rule.ANSWERED_ONCE,
    Rule.ATTEMPT_LIMIT,
    Rule.REPEATABLE,
    Rule.REQUEST_FORM,
    Rule.RELAY_LOG,
    Rule.STORE,
}


def test_a_seed_gives_one_plan_with_several_kinds_of_faults() -> None:
    plans = [draw_plan(seed, SoakSize()) for seed in range(50)]
    assert plans == [draw_plan(seed, SoakSize()) for seed in range(50)]
    drawn = {fault.kind for plan in plans for fault in plan.faults}
    assert drawn == set(FaultKind)
    for plan in plans:
        assert msgspec.json.decode(msgspec.json.encode(plan), type=SoakPlan) == plan
        kinds = {fault.kind for fault in plan.faults}
        assert len(kinds) >= 3


def test_every_plan_has_signals_and_clock_steps_in_series_at_single_relays() -> None:
    for seed in range(50):
        plan = draw_plan(seed, SoakSize())
        signals = plan.faults_of(FaultKind.RELAY_SIGNALS)
        assert len(signals) == SoakSize().relays // 4
        assert {SignalSeries(fault.mode) for fault in signals} <= set(SignalSeries)
        steps: dict[int, list[float]] = {}
        for fault in plan.faults_of(FaultKind.RELAY_CLOCK):
            steps.setdefault(fault.target, []).append(fault.begin_s)
        assert len(steps) == SoakSize().relays // 4
        assert all(len(instants) == 4 and min(instants) < 0.0 for instants in steps.values())
        assert plan.wall_clock_offset_s(1.0) == 0.0 or plan.faults_of(FaultKind.CLOCK_STEP)


def test_some_plans_have_short_deadlines_and_some_a_crowd() -> None:
    plans = [draw_plan(seed, SoakSize()) for seed in range(50)]
    crowded = [plan for plan in plans if plan.faults_of(FaultKind.CLIENT_CROWD)]
    assert 5 < len(crowded) < 25
    assert {plan.request_timeout_s for plan in plans} == set(REQUEST_TIMEOUTS_S)
    for plan in plans:
        assert plan.kill_after_s == pytest.approx(min(plan.request_timeout_s, 3.0) + 0.7)
        settings = read_settings(relay_settings(plan, 0))
        assert settings.classes[0].give_up_ms == plan.request_timeout_s * 1000.0


def test_variants_change_the_deployment_and_no_random_draws() -> None:
    default_plan = draw_plan(7, SoakSize())
    variant_plan = draw_plan(7, SoakSize(), variants=list(Variant))
    assert variant_plan == replace(default_plan, variants=tuple(Variant))
    settings = [read_settings(relay_settings(plan, 0)) for plan in (default_plan, variant_plan)]
    assert [each.discovery for each in settings] == ["ask", "push"]
    assert [each.probes for each in settings] == [False, True]


def test_incarnations_of_an_endpoint_do_not_overlap_and_changes_are_ordered() -> None:
    for seed in range(50):
        plan = draw_plan(seed, SoakSize())
        for incarnation in plan.incarnations:
            assert incarnation.start_s < min(incarnation.drain_s, incarnation.end_s) and not (
                incarnation.is_crash and incarnation.drain_s < NEVER_S
            )
        ends_by_name: dict[str, list[float]] = {}
        for incarnation in sorted(plan.incarnations, key=lambda each: each.start_s):
            assert incarnation.start_s >= ends_by_name.get(incarnation.name, [-NEVER_S])[-1]
            ends_by_name.setdefault(incarnation.name, []).append(incarnation.end_s)
        changes = list_changes(plan)
        assert changes == sorted(changes, key=lambda change: change.at_s)


SHIM_SCRIPT = """
import errno, os, socket, sys, time
from random import Random
from sageturn.lab.soak.plan import ScheduledFault, FaultKind
from sageturn.lab.soak.shims import Shims
faults = [ScheduledFault(FaultKind(name), 0.0, 1e9, value=-3600.0) for name in sys.argv[1:]]
before_s = time.time()
Shims(time.monotonic(), faults, Random(1)).install()
numbers = set()
listening = socket.create_server(("127.0.0.1", 0)) if "connect_errors" not in sys.argv else None
for _ in range(60):
    try:
        if "disk_errors" in sys.argv:
            os.fsync(0)
        elif "accept_errors" in sys.argv:
            client = socket.create_connection(listening.getsockname())
            listening.accept()
        elif "connect_errors" in sys.argv:
            socket.socket().connect(("127.0.0.1", 9))
        else:
            left, right = socket.socketpair()
            sent = left.send(b"x" * 100)
            numbers.add("short write" if sent < 100 else "whole")
            numbers.add("short read" if len(right.recv(sent)) < sent else "whole")
    except OSError as error:
        numbers.add(errno.errorcode[error.errno])
stepped = before_s - time.time() > 3000
print(sorted(numbers), stepped)
"""


@pytest.mark.parametrize(
    ("trouble", "expected"),
    [
        ("accept_errors", {"ECONNABORTED", "ENFILE", "ENOBUFS", "ENOMEM", "EPROTO"}),
        (
            "connect_errors",
            {"EADDRNOTAVAIL", "ENETUNREACH", "ENOBUFS", "ETIMEDOUT", "EHOSTUNREACH", "ENFILE"},
        ),
        ("disk_errors", {"ENOSPC", "EIO"}),
        ("short_io", {"short write", "short read", "whole"}),
        ("clock_step", {"whole"}),
    ],
)
def test_shims_fail_as_linux_documents(trouble: str, expected: set[str]) -> None:
    result = subprocess.run(
        [sys.executable, "-c", SHIM_SCRIPT, trouble], capture_output=True, text=True, check=True, timeout=60
    )
    found, _, stepped = result.stdout.strip().rpartition(" ")
    assert expected <= set(ast.literal_eval(found)) and (stepped == "True") == (trouble == "clock_step")


def test_relays_are_started_by_the_shell_of_the_deploy_file() -> None:
    # A reload in the first moments of a process terminated it: without the shell, nothing ignored SIGHUP yet.
    run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    shell_part = START_SHELL[2].removesuffix(' exec "$@"')
    assert run.startswith(f"{shell_part} exec ")


SEED_WITH_CROWD_AND_SHORT_DEADLINE = 149


@pytest.mark.parametrize(
    ("seed", "variants"), [(3, []), (3, list(Variant)), (SEED_WITH_CROWD_AND_SHORT_DEADLINE, [])]
)
def test_a_small_run_serves_requests_and_obeys_the_rules(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, seed: int, variants: list[Variant]
) -> None:
    monkeypatch.setattr(soak_run, "START_TIME_S", 5.0)
    lines: list[str] = []
    storm = [FaultKind.RELAY_RESTART, FaultKind.ENDPOINT_DRAIN, FaultKind.DISK_ERRORS]
    plan = draw_plan(seed, SMALL, storm, variants)
    play_all([plan], tmp_path, lines.append)
    assert any("served" in line for line in lines) and lines[-1].startswith("rules broken:")
    broken = {line.split()[1].rstrip(":") for line in lines if line.startswith("  BROKEN")}
    assert not broken & {rule.value for rule in TIMELESS_RULES}, lines
    assert os.listdir(tmp_path) == [f"seed-{seed}"]
    evidence = (tmp_path / f"seed-{seed}" / "evidence.json").read_bytes()
    assert len(msgspec.json.decode(evidence)["relays"]) > SMALL.relays
