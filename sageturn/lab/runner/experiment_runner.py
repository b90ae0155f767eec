"""Runner of experiments over several processes."""

from __future__ import annotations

import json
import platform
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import dataclass
from multiprocessing import get_context
from pathlib import Path

import msgspec

from sageturn.lab.model.planner_kind import PlannerKind
from sageturn.lab.model.policy import read_policy
from sageturn.lab.runner.experiment import Experiment, Scenario, Variant
from sageturn.lab.runner.metrics import encode_series, measure
from sageturn.lab.runner.result_file import LIBRARIES, Line, Results, library_version, revision
from sageturn.lab.runner.simulation import RelayVariant, simulate

OnRun = Callable[[Line, int, int], None]  # arguments: the run's line, its number, the number of runs


@dataclass(frozen=True, slots=True)
class Run:
    """Run of an experiment."""

    scenario: Scenario
    seed: int
    variant: Variant

    @property
    def key(self) -> tuple[str, int, str]:
        """Names of the scenario and the variant, and the seed, which identify the run."""
        return self.scenario.name, self.seed, self.variant.name


def run_scenario(scenario: Scenario, seed: int, variant: Variant, policy: str, processes: int = 1) -> Line:
    """Run a scenario once. Return its line, which is reproducible except for ``took_s``.

    ``policy`` is the text of the variant's decision module.
    """
    started_s = time.monotonic()
    result = simulate(
        scenario.size.spec(seed),
        RelayVariant(PlannerKind(variant.planner), variant.options(), policy),
        scenario.seconds,
        faults=scenario.faults,
        processes=processes,
    )
    return {
        "scenario": scenario.name,
        "seed": seed,
        "variant": variant.name,
        "metrics": measure(scenario.size.spec(1), result),
        "counts": dict(sorted(result.counts.items())),
        "series": encode_series(result),
        "took_s": round(time.monotonic() - started_s, 2),
    }


def run_experiment(experiment: Experiment, file: Path, root: Path, processes: int, on_run: OnRun) -> Results:
    """Run what the result file lacks; an interrupted experiment continues with the next call."""
    policies = {variant.name: read_policy(variant.policy, root) for variant in experiment.variants}
    results = Results(file)
    results.start(_head(experiment, root, policies))
    completed = results.completed_runs()
    missing = [run for run in _all_runs(experiment) if run.key not in completed]
    with ProcessPoolExecutor(processes, mp_context=get_context("spawn")) as pool:
        futures = [
            pool.submit(run_scenario, run.scenario, run.seed, run.variant, policies[run.variant.name])
            for run in missing
        ]
        try:
            for number, future in enumerate(as_completed(futures), 1):
                results.add(future.result())
                on_run(results.runs[-1], number, len(missing))
        except BaseException:
            for future in futures:
                future.cancel()
            raise
    return results


def _head(experiment: Experiment, root: Path, policies: dict[str, str]) -> Line:
    """Return the head of a result file: the experiment, the policies' texts, and all versions."""
    return {
        "experiment": json.loads(msgspec.json.encode(experiment)),
        "policies": policies,
        "revision": revision(root),
        "python": platform.python_version(),
        "libraries": {name: library_version(name) for name in LIBRARIES},
    }


def _all_runs(experiment: Experiment) -> Iterator[Run]:
    """Yield all runs; the variants of a scenario and seed are adjacent.

    An interrupted experiment thus has complete pairs to compare.
    """
    for seed in experiment.seeds:
        for scenario in experiment.scenarios:
            for variant in experiment.variants:
                yield Run(scenario, seed, variant)
