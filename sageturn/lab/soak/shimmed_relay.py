"""A relay for the soak test: the real program, whose system calls fail by the plan.

Started with the relay's number and the file of the plan before the relay's own arguments.
"""

from __future__ import annotations

import sys
from pathlib import Path
from random import Random

from sageturn.__main__ import main as run_relay  # isort: skip  # the first: it blocks the signals

import msgspec

from sageturn.lab.soak.plan import SHIMS, SoakPlan
from sageturn.lab.soak.shims import Shims


def main() -> int:
    """Runs the relay until it is asked to stop. Returns the exit code."""
    relay = int(sys.argv[1])
    plan = msgspec.json.decode(Path(sys.argv[2]).read_bytes(), type=SoakPlan)
    sys.argv = ["sageturn", *sys.argv[3:]]
    faults = [fault for fault in plan.faults_of(*SHIMS) if fault.target in (-1, relay)]
    Shims(plan.started_s, faults, Random(f"{plan.seed}/{relay}")).install()
    return run_relay()


if __name__ == "__main__":
    sys.exit(main())
