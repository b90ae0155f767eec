"""Measures operators' overrides.

python -m sageturn.lab.overriding obeying       # 3 relays, their stores linked, under steady load
python -m sageturn.lab.overriding resolution    # 5,000 hosts and 500 overrides
python -m sageturn.lab.overriding cost          # of a request, with no override set
"""

from __future__ import annotations

import argparse

import uvloop

from sageturn.lab.measurements.override_cost import measure_cost
from sageturn.lab.measurements.override_propagation import measure_propagation
from sageturn.lab.measurements.override_resolution import measure_resolution
from sageturn.lab.reports.result_table import Row, print_table

MEASUREMENTS = ("obeying", "resolution", "cost")
DEFAULT_ROUNDS = 40


def _measure(name: str, rounds: int) -> Row:
    if name == "obeying":
        return uvloop.run(measure_propagation(rounds))
    if name == "resolution":
        return measure_resolution()
    return measure_cost()


def main() -> None:
    """Runs one of the measurements, and prints its figures."""
    parser = argparse.ArgumentParser(prog="sageturn.lab.overriding", description=__doc__)
    parser.add_argument("what", choices=MEASUREMENTS)
    parser.add_argument("--rounds", type=int, default=DEFAULT_ROUNDS)
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    row = _measure(options.what, options.rounds)
    print_table(f"overrides: {options.what}", {"": row}, options.json)


if __name__ == "__main__":
    main()
