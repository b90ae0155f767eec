"""Shrinking of a scenario to fewer, shorter and weaker faults that have nearly the same loss."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import replace

import msgspec

from sageturn.lab.faults.fault import ScheduledFault
from sageturn.lab.runner.experiment import Scenario

MAX_RUNS = 40
MIN_LENGTH_S = 1.0  # faults shorter than this are not shortened
MIN_PART = 0.05  # faults with a smaller part are not narrowed
MIN_STRENGTH = 1.2  # faults with a lower strength are not weakened


def replace_fault_field(fault: ScheduledFault, name: str, value: float) -> ScheduledFault:
    """Return the fault with one field replaced.

    Raises:
        InvalidFaultError: The value is out of bounds.
    """
    return replace(fault, **{name: value})  # type: ignore[arg-type]


def shrink(
    scenario: Scenario,
    loss_of: Callable[[Scenario], float],
    min_loss: float,
    log: Callable[[str], None],
) -> Scenario:
    """Return the smallest scenario found in ``MAX_RUNS`` runs with a loss of ``min_loss`` or more."""
    runs = 0
    shrunk = True
    while shrunk and runs < MAX_RUNS:
        shrunk = False
        for smaller in _smaller_scenarios(scenario):
            runs += 1
            if loss_of(smaller) >= min_loss:
                log(f"smaller: {describe(smaller)}")
                scenario = smaller
                shrunk = True
                break
            if runs >= MAX_RUNS:
                break
    return scenario


def _smaller_scenarios(scenario: Scenario) -> list[Scenario]:
    """Return the scenarios with one fault fewer, then those with one shorter, narrower or weaker."""
    faults = scenario.faults
    found = []
    for index in range(len(faults)):
        remaining = faults[:index] + faults[index + 1 :]
        if remaining:
            found.append(msgspec.structs.replace(scenario, faults=remaining))
    for index, fault in enumerate(faults):
        for smaller in _smaller_faults(fault):
            changed = (*faults[:index], smaller, *faults[index + 1 :])
            found.append(msgspec.structs.replace(scenario, faults=changed))
    return found


def _smaller_faults(fault: ScheduledFault) -> Iterator[ScheduledFault]:
    if fault.length_s >= MIN_LENGTH_S:
        yield replace_fault_field(fault, "length_s", round(fault.length_s / 2.0, 2))
    if fault.part >= MIN_PART:
        yield replace_fault_field(fault, "part", round(fault.part / 2.0, 3))
    if fault.strength >= MIN_STRENGTH:
        yield replace_fault_field(fault, "strength", round(1.0 + (fault.strength - 1.0) / 2.0, 2))


def describe(scenario: Scenario) -> str:
    """Return a description of the faults of a scenario in one line."""
    return "; ".join(
        f"{fault.kind} from {fault.start_s:g} s for {fault.length_s:g} s, part {fault.part:g}, "
        f"strength {fault.strength:g}"
        for fault in scenario.faults
    )
