"""Relay of the soak test: the real program, whose system calls fail according to the plan.

Its arguments are the relay's index and the plan's file, followed by the relay's own arguments.
"""

from __future__ import annotations

import sys
from pathlib import Path
from random import Random

from sageturn.__main__ import main as run_relay  # isort: skip  # imported first because it blocks the signals

import msgspec

from sageturn.lab.soak.plan import SHIMMED_FAULT_KINDS, SoakPlan
from sageturn.lab.soak.shims import Shims


def main() -> int:
    """Run the relay until it is asked to stop, and return its exit code."""
    relay = int(sys.argv[1])
    plan = msgspec.json.decode(Path(sys.argv[2]).read_bytes(), type=SoakPlan)
    sys.argv = ["sageturn", *sys.argv[3:]]
    faults = [fault for fault in plan.faults_of(*SHIMMED_FAULT_KINDS) if fault.target in (-1, relay)]
    Shims(plan.started_s, faults, Random(f"{plan.seed}/{relay}")).install()
    return run_relay()


if __name__ == "__main__":
    sys.exit(main())
