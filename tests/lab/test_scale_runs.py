"""Small complete scale runs."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import tempfile
from pathlib import Path

import msgspec
import pytest

from sageturn.lab.scale.errors import InvalidPlanError
from sageturn.lab.scale.plan import (
    Bounds,
    Environment,
    Fault,
    LinkProfile,
    ScaleExperiment,
    Size,
    Windows,
)
from sageturn.lab.scale.scale_run import ScaleRun, run_size

RUN_TIMEOUT_S = 300
SHORT_WINDOWS = Windows(settle_s=1.0, idle_s=1.2, changes=6, changes_s=0.4, tail_s=1.5, ready_s=30.0)


def child_commands(folder: Path) -> list[str]:
    """Return the command lines of running child processes whose job file is in ``folder``."""
    commands = []
    for entry in Path("/proc").glob("[0-9]*/cmdline"):
        try:
            text = entry.read_bytes().replace(b"\0", b" ").decode(errors="replace")
        except OSError:
            continue
        if "sageturn.lab.scale.process" in text and str(folder) in text:
            commands.append(text)
    return commands


@pytest.mark.timeout(RUN_TIMEOUT_S)
async def test_a_small_run_delivers_every_change_within_the_expected_traffic(tmp_path: Path) -> None:
    keys, interval_s = 50, 0.5
    experiment = ScaleExperiment(
        "x",
        (Size("a", 5, keys=keys, real=1, clients=2),),
        seeds=(7,),
        interval_s=interval_s,
        windows=SHORT_WINDOWS,
        links=LinkProfile(between_ms=2.0),
        around=Environment(hosts=8),
    )
    experiment.validate()
    line = await ScaleRun(experiment, experiment.sizes[0], 7, tmp_path).run()
    assert line["equal"]["all"] and line["links"] == 10
    idle, changes = line["phases"]["idle"], line["phases"]["changes"]
    assert changes["changes"]["last"]["n"] == 6 and changes["changes"]["last"]["never"] == 0
    # When idle, each end of a link sends its digest once an interval. In addition, the whole relay may write
    # its state record once within the window, and each copy forwards that record over all its links.
    frame = 4 + 32 + len('{"digest":{}}') + (keys + 1) * len('"state/r0000/relay":[1,"r0000"],')
    for role in ("hollow", "real"):
        ends, took_s = 4, idle["took_s"]
        messages = idle[role]["store_out_messages_most"] * took_s
        assert 0 < messages <= ends * (took_s / interval_s + 1) + ends + 0.5
        assert idle[role]["store_out_octets_most"] <= idle[role]["store_out_messages_most"] * (frame + 1)
    # Each change crosses each link at most twice: to the other end, and back to its sender.
    record = 4 + 32 + 200
    extra = (changes["hollow"]["store_out_octets"] - idle["hollow"]["store_out_octets"]) * changes["took_s"]
    assert extra <= 7 * 2 * 4 * record + 4 * (frame + 7 * 40)
    assert line["discovery"]["calls"] >= 5 and line["discovery"]["failed"] == 0
    assert line["clients"]["opened"] >= 2 and line["clients"]["refused"] == 0
    assert idle["descriptors_real"][0] > 8 and line["memory"]["real_mb"][0] > 10
    assert child_commands(tmp_path) == []


@pytest.mark.timeout(RUN_TIMEOUT_S)
async def test_each_fault_is_injected_and_all_copies_are_equal_after(tmp_path: Path) -> None:
    faults = (
        Fault("kill", length_s=0.5, part=0.3, wipe=True, after_s=0.5),
        Fault("cut", length_s=1.0, after_s=0.3),
        Fault("loss", length_s=0.3, part=0.2, after_s=0.3),
        Fault("zone", length_s=0.3, after_s=0.3),
        Fault("restart", length_s=0.5, after_s=0.3),
        Fault("discovery", length_s=0.3, after_s=2.0),
    )
    experiment = ScaleExperiment(
        "x",
        (Size("a", 10, keys=20, faults=faults),),
        seeds=(7,),
        interval_s=0.5,
        windows=msgspec.structs.replace(SHORT_WINDOWS, changes=20),
        links=LinkProfile(between_ms=2.0),
        around=Environment(hosts=8),
    )
    line = await ScaleRun(experiment, experiment.sizes[0], 7, tmp_path).run()
    phases = line["phases"]
    assert list(phases)[2:] == ["0:kill", "1:cut", "2:loss", "3:zone", "4:restart", "5:discovery"]
    for name, phase in phases.items():
        if name != "idle":
            assert phase["changes"]["last"]["never"] == 0, name
    assert phases["0:kill"]["changes"]["back"]["n"] == 3, (
        "three of ten members, each of which missed a change"
    )
    assert phases["3:zone"]["changes"]["back"]["n"] <= 2, "members of the last of five zones"
    cut = phases["1:cut"]["changes"]
    assert cut["last"]["worst"] > 5 * cut["last_on_its_side"]["p50"], (
        "changes reach the other region only after the cut"
    )
    assert phases["5:discovery"]["changes"]["listed"]["n"] == 10
    assert phases["5:discovery"]["changes"]["listed"]["never"] == 0
    assert line["discovery"]["calls"] >= 20 and line["equal"]["all"]
    assert child_commands(tmp_path) == []


@pytest.mark.timeout(RUN_TIMEOUT_S)
async def test_a_run_over_its_bound_is_ended_and_reported(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(tempfile, "tempdir", str(tmp_path))
    bounded = ScaleExperiment("x", (Size("a", 3),), windows=SHORT_WINDOWS, bounds=Bounds(memory_gb=0.01))
    with pytest.raises(InvalidPlanError, match=r"sizes\[0\].keys"):
        bounded.validate()  # reading the file would reject it; the run is started all the same
    line = await run_size(bounded, bounded.sizes[0], 1, lambda text: None)
    assert line["failed"].startswith("Overrun: memory_gb")
    assert child_commands(tmp_path) == [] and os.listdir(tmp_path) == []


def test_an_interrupt_ends_the_command_and_all_its_processes(tmp_path: Path) -> None:
    file = tmp_path / "x.toml"
    file.write_text('name = "x"\n[windows]\nsettle_s = 60\n[[sizes]]\nname = "a"\nmembers = 3\n')
    environ = {**os.environ, "TMPDIR": str(tmp_path)}
    with subprocess.Popen(
        [sys.executable, "-m", "sageturn.cli.main", "lab", "scale", str(file), "--out", str(tmp_path / "o")],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
        env=environ,
        start_new_session=True,
    ) as command:
        assert command.stdout is not None and "3 members" in command.stdout.readline()
        for _ in range(1000):
            if len(child_commands(tmp_path)) >= 8:
                break
            try:
                command.wait(0.02)
                break
            except subprocess.TimeoutExpired:
                continue
        assert len(child_commands(tmp_path)) >= 8, "five processes of link emulation and three of members"
        command.send_signal(signal.SIGINT)
        _, error_output = command.communicate(timeout=20)
    assert command.returncode == 1 and "interrupted" in error_output
    assert child_commands(tmp_path) == [] and len((tmp_path / "o").read_text().splitlines()) == 1
