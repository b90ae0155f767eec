"""Command of the store soak.

python -m sageturn.lab.store_soak --seed 1000 --runs 10 --seconds 60
"""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

import uvloop

from sageturn.lab.store_soak.soak import play

DEFAULT_SECONDS = 60.0


def main() -> int:
    """Play one seed after the other, print a line for each, and return 1 if a promise was broken."""
    parser = argparse.ArgumentParser(prog="python -m sageturn.lab.store_soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=DEFAULT_SECONDS, help="length of each run's faults")
    parser.add_argument("--keep", type=Path, help="folder that keeps the processes' output")
    options = parser.parse_args()
    has_violations = False
    for seed in range(options.seed, options.seed + options.runs):
        folder = None
        if options.keep is not None:
            folder = options.keep / str(seed)
            folder.mkdir(parents=True)
        report = uvloop.run(play(seed, options.seconds, folder))
        print(report, flush=True)
        has_violations = has_violations or bool(report.violations)
    return 1 if has_violations else 0


if __name__ == "__main__":
    sys.exit(main())
