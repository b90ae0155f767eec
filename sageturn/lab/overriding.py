"""Command for measurements of operators' overrides.

python -m sageturn.lab.overriding obeying       # 3 relays with linked stores, under steady load
python -m sageturn.lab.overriding resolution    # 5,000 endpoints and 500 overrides
python -m sageturn.lab.overriding cost          # cost of a request while no override is set
"""

from __future__ import annotations

import argparse
from enum import StrEnum

import uvloop

from sageturn.lab.measurements.override_cost import measure_cost
from sageturn.lab.measurements.override_propagation import measure_propagation
from sageturn.lab.measurements.override_resolution import measure_resolution
from sageturn.lab.reports.result_table import Row, print_table

DEFAULT_ROUNDS = 40


class Measurement(StrEnum):
    """Measurement, with its name on the command line as the value."""

    PROPAGATION = "obeying"
    RESOLUTION = "resolution"
    COST = "cost"


def _measure(measurement: Measurement, rounds: int) -> Row:
    match measurement:
        case Measurement.PROPAGATION:
            return uvloop.run(measure_propagation(rounds))
        case Measurement.RESOLUTION:
            return measure_resolution()
        case Measurement.COST:
            return measure_cost()


def main() -> None:
    """Run one of the measurements, and print its figures."""
    parser = argparse.ArgumentParser(prog="sageturn.lab.overriding", description=__doc__)
    names = [measurement.value for measurement in Measurement]
    parser.add_argument("what", choices=names)
    parser.add_argument("--rounds", type=int, default=DEFAULT_ROUNDS)
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    row = _measure(Measurement(options.what), options.rounds)
    print_table(f"overrides: {options.what}", {"": row}, options.json)


if __name__ == "__main__":
    main()
