"""Searches for scenarios that a fleet handles badly: sweeps of a parameter, and random scenarios."""

from __future__ import annotations

import itertools
import json
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace
from multiprocessing import get_context
from pathlib import Path

import msgspec
import numpy as np

from sageturn.lab.errors import UnknownParameterError
from sageturn.lab.faults.fault import FaultKind, ScheduledFault
from sageturn.lab.runner.experiment import Scenario, Size, Variant
from sageturn.lab.runner.experiment_runner import run_scenario
from sageturn.lab.runner.scenario_shrinking import replace_fault_field, shrink

SIZE_PARAMETERS = {  # fields of ``Size`` by their keys
    "connections": "connections",
    "room": "capacity_ratio",
    "store_headroom": "store_headroom",
    "life_s": "mean_lifetime_s",
    "hosts": "hosts",
    "relays": "relays",
}
INTEGER_PARAMETERS = ("connections", "hosts", "relays")
FAULT_PARAMETERS = ("strength", "part", "length_s")
REBALANCE_PREFIX = "rebalance."
BISECTION_STEPS = 8  # halvings of the interval in which a metric crosses a bound
MIN_RETAINED_LOSS_RATIO = 0.8  # loss of a shrunk scenario over that of the drawn one
REPORTED_LOSSES = 5
MAX_DRAWN_FAULTS = 3
MAX_FAULT_LENGTH_S = 25.0
MAX_STRENGTH = 3.0
MAX_SLOWDOWN = 8.0

# ---------------------------------------------------------------- sweeps


@dataclass(frozen=True, slots=True)
class Point:
    """Value of the swept parameter, and the metric's mean at it."""

    value: float
    metric: float


@dataclass(frozen=True, slots=True)
class Evaluation:
    """Evaluation of a variant by a metric's mean over seeds; ``policy`` is its decision module's text."""

    variant: Variant
    policy: str
    seeds: tuple[int, ...]
    metric: str

    def mean(self, scenario: Scenario) -> float:
        """Run the scenario with each seed. Return the metric's mean."""
        lines = [run_scenario(scenario, seed, self.variant, self.policy) for seed in self.seeds]
        return float(np.mean([line["metrics"][self.metric] for line in lines]))


def set_parameter(scenario: Scenario, parameter: str, value: float) -> Scenario:
    """Return the scenario with a parameter set; a parameter of the planner leaves it unchanged.

    Raises:
        UnknownParameterError: The parameter is not one of a size, a fault or the planner.
    """
    if parameter in SIZE_PARAMETERS:
        field_value = round(value) if parameter in INTEGER_PARAMETERS else value
        size = msgspec.structs.replace(scenario.size, **{SIZE_PARAMETERS[parameter]: field_value})
        return msgspec.structs.replace(scenario, size=size)
    if parameter in FAULT_PARAMETERS:
        faults = tuple(replace_fault_field(fault, parameter, value) for fault in scenario.faults)
        return msgspec.structs.replace(scenario, faults=faults)
    if parameter.startswith(REBALANCE_PREFIX):
        return scenario
    known = ", ".join((*SIZE_PARAMETERS, *FAULT_PARAMETERS))
    raise UnknownParameterError(f"{parameter}: must be one of {known} or rebalance.KEY")


def _set_variant_parameter(variant: Variant, parameter: str, value: float) -> Variant:
    if not parameter.startswith(REBALANCE_PREFIX):
        return variant
    key = parameter.removeprefix(REBALANCE_PREFIX)
    return msgspec.structs.replace(variant, rebalance={**variant.rebalance, key: value})


def sweep(
    scenario: Scenario, evaluation: Evaluation, parameter: str, values: list[float], processes: int
) -> list[Point]:
    """Return the metric's mean at each value of a parameter.

    Raises:
        UnknownParameterError: The parameter is not one of a size, a fault or the planner.
    """
    scenarios = [set_parameter(scenario, parameter, value) for value in values]
    evaluations = [
        replace(evaluation, variant=_set_variant_parameter(evaluation.variant, parameter, value))
        for value in values
    ]
    with ProcessPoolExecutor(processes, mp_context=get_context("spawn")) as pool:
        means = list(pool.map(Evaluation.mean, evaluations, scenarios))
    return [Point(value, mean) for value, mean in zip(values, means, strict=True)]


def find_crossing(points: list[Point], bound: float, metric_at: Callable[[float], float]) -> float | None:
    """Return the value at which the metric crosses a bound, by bisection between two neighbouring points.

    None if no two neighbouring points are on different sides of the bound.
    """
    for low, high in itertools.pairwise(points):
        starts_below = low.metric < bound
        if starts_below == (high.metric < bound):
            continue
        left = low.value
        right = high.value
        for _ in range(BISECTION_STEPS):
            middle = (left + right) / 2.0
            if (metric_at(middle) < bound) == starts_below:
                left = middle
            else:
                right = middle
        return (left + right) / 2.0
    return None


# ---------------------------------------------------------------- drawn scenarios


def draw_scenario(rng: np.random.Generator, number: int, size: Size, seconds: float) -> Scenario:
    """Draw a scenario with one to three faults."""
    fault_count = int(rng.integers(1, MAX_DRAWN_FAULTS + 1))
    faults = tuple(_draw_fault(rng, seconds) for _ in range(fault_count))
    return Scenario(f"hunted-{number}", size, seconds, faults)


def _draw_fault(rng: np.random.Generator, seconds: float) -> ScheduledFault:
    kind = str(rng.choice([kind.value for kind in FaultKind]))
    start_s = float(np.round(rng.uniform(5.0, seconds * 0.6), 1))
    length_s = float(np.round(rng.uniform(2.0, min(MAX_FAULT_LENGTH_S, seconds - start_s)), 1))
    max_strength = MAX_SLOWDOWN if kind in (FaultKind.SLOW, FaultKind.STORE) else MAX_STRENGTH
    strength = float(np.round(rng.uniform(1.5, max_strength), 1))
    part = float(np.round(rng.uniform(0.05, 0.5), 2))
    return ScheduledFault(kind, start_s, length_s, part, strength)


@dataclass(frozen=True, slots=True)
class CostlyScenario:
    """Drawn scenario, and its loss: the metric of the baseline scenario less its own."""

    loss: float
    scenario: Scenario


def find_costly_scenarios(
    baseline: Scenario,
    evaluation: Evaluation,
    count: int,
    seed: int,
    processes: int,
    log: Callable[[str], None],
) -> list[CostlyScenario]:
    """Return random scenarios in descending order of their loss; the first one is shrunk.

    Args:
        baseline: The scenario without faults, which gives the drawn ones their size and length.
        evaluation: The metric that the loss is measured in, and the variant to run.
        count: The number of scenarios to draw.
        seed: The seed of the random scenarios.
        processes: The number of concurrent runs.
        log: Called with each line of progress.
    """
    rng = np.random.Generator(np.random.PCG64(seed))
    drawn = [draw_scenario(rng, number, baseline.size, baseline.seconds) for number in range(count)]
    with ProcessPoolExecutor(processes, mp_context=get_context("spawn")) as pool:
        baseline_value, *values = pool.map(evaluation.mean, [baseline, *drawn])

        def loss_of(scenario: Scenario) -> float:
            return baseline_value - pool.submit(evaluation.mean, scenario).result()

        found = [
            CostlyScenario(baseline_value - value, scenario)
            for value, scenario in zip(values, drawn, strict=True)
        ]
        found.sort(key=lambda costly: -costly.loss)
        losses = ", ".join(f"{costly.loss:.3f}" for costly in found[:REPORTED_LOSSES])
        log(f"calm {baseline_value:.3f}; the worst lose {losses}")
        worst = found[0]
        shrunk = shrink(worst.scenario, loss_of, MIN_RETAINED_LOSS_RATIO * worst.loss, log)
    return [CostlyScenario(worst.loss, shrunk), *found[1:]]


def write_scenario(file: Path, scenario: Scenario, variant: Variant, seed: int, why: str) -> None:
    """Write an experiment file of one scenario, for use as a regression test."""
    experiment = {
        "name": file.stem.lower().replace(" ", "-"),
        "why": why,
        "seeds": [seed],
        "variants": [msgspec.to_builtins(variant)],
        "scenarios": [msgspec.to_builtins(scenario)],
    }
    file.write_text(json.dumps(experiment, indent=2) + "\n", encoding="utf-8")
