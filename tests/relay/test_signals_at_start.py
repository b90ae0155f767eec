"""Signals that arrive while the program is being imported are blocked, and do not end it."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
import tomllib
from pathlib import Path

from support.network_fakes import write_config

ROOT = Path(__file__).parents[2]

# Ends the program when it imports the first of its libraries, and prints which signals are blocked then.
PROGRAM = """
import importlib.abc, os, runpy, signal, sys

class Stop(importlib.abc.MetaPathFinder):
    def find_spec(self, name, path, target=None):
        if name in ("uvloop", "httptools", "sageturn.config", "sageturn.relay"):
            blocked = signal.pthread_sigmask(signal.SIG_BLOCK, [])
            print(sorted(number.name for number in blocked), flush=True)
            os._exit(0)

sys.meta_path.insert(0, Stop())
sys.argv = ["sageturn"]
runpy.run_module("sageturn", run_name="__main__")
"""


def test_signals_are_blocked_before_the_program_loads_its_libraries() -> None:
    # Signals were once blocked only a third of a second after the start: an earlier SIGHUP ended the process.
    result = subprocess.run(
        [sys.executable, "-c", PROGRAM], capture_output=True, text=True, check=True, timeout=30
    )
    assert result.stdout.strip() == "['SIGHUP', 'SIGINT', 'SIGTERM']"


def start_deployed_relay(folder: Path) -> subprocess.Popen[bytes]:
    """Start a relay by the deploy file's ``run``; return its process once the shell has become the relay."""
    command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    command = command.replace(".venv/bin/python", sys.executable)
    environment = os.environ | {"GW_CONFIG": str(write_config(folder, ("127.0.0.1", 9)))}
    process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=environment)
    while b"-m\0sageturn" not in Path(f"/proc/{process.pid}/cmdline").read_bytes():
        time.sleep(0.0005)
    return process


def test_a_reload_before_the_programs_first_statement_is_not_fatal(tmp_path: Path) -> None:
    # The interpreter itself takes some 0.05 s to start, during which SIGHUP had its default action.
    process = start_deployed_relay(tmp_path)
    try:
        for _ in range(10):
            process.send_signal(signal.SIGHUP)
            time.sleep(0.01)
        time.sleep(1.0)
        assert process.poll() is None
        process.send_signal(signal.SIGTERM)
        assert process.wait(timeout=20) == 0
    finally:
        process.kill()
        process.wait()
