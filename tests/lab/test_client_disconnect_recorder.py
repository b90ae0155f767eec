"""The relay that records client disconnects replaces functions by their names, which must exist."""

from __future__ import annotations

import runpy
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parents[2]
EXPERIMENT = ROOT / "experiments" / "measure_client_disconnects.py"


def test_the_recording_relay_finds_the_functions_that_it_replaces(tmp_path: Path) -> None:
    script = runpy.run_path(str(EXPERIMENT))["RECORDING_RELAY"]
    started = subprocess.run(
        [sys.executable, "-c", script, str(tmp_path / "records"), "--help"],
        capture_output=True,
        text=True,
        check=False,
        cwd=ROOT,
        timeout=60,
    )
    assert started.returncode == 0, started.stderr
    assert "--operator" in started.stdout
