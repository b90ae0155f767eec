"""Playing experiments, and keeping what came of them: one JSON line for each run, whole or not at all."""

from __future__ import annotations

import json
import os
import platform
import subprocess
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from importlib.metadata import PackageNotFoundError, version
from multiprocessing import get_context
from pathlib import Path
from typing import Any

import msgspec
import numpy as np

from sageturn.lab.environment import SimulationResult
from sageturn.lab.experiment import Experiment, Scenario, Variant
from sageturn.lab.policy import read_policy
from sageturn.lab.simulation import simulate

WINDOW_S = 10  # the worst such span counts, as it does for the operators
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
LIBRARIES = ("numpy", "scipy", "hdrhistogram", "msgspec")

Line = dict[str, Any]


def metrics(scenario: Scenario, series: SimulationResult) -> dict[str, float]:
    """What a day comes to. All from 0 to 1, but counts for each client's wish, and milliseconds."""
    spec = scenario.size.spec(1)
    classes = len(spec.classes)
    wanted, served = np.array(series.wanted), np.array(series.served)
    parts = served.sum(axis=0) / np.maximum(wanted.sum(axis=0), 1e-9)
    whole_wanted, whole_served = wanted[:, :classes].sum(axis=1), served[:, :classes].sum(axis=1)
    window = np.ones(min(WINDOW_S, len(whole_wanted)))
    windows = np.convolve(whole_served, window, "valid") / np.convolve(whole_wanted, window, "valid")
    asked = max(1, series.counts["asked"])
    set_ups = sum(h.get_total_count() for h in series.set_ups)
    late = sum(series.counts[f"late_{c.name}"] for c in spec.classes)
    found = {
        "service": float(whole_served.sum() / max(whole_wanted.sum(), 1e-9)),
        "worst_class": float(parts[:classes].min()),
        "worst_member": float(parts[classes:].min()),
        "worst_window": float(windows.min()),
        "late": late / max(1, set_ups),
        "refused": series.counts["refused"] / asked,
        "moved": series.moved_by[-1] / spec.connections,
        "cut": series.counts["cut"] / spec.connections,
        "ratio": float(np.mean(series.ratio[-10:])),
        "fallen": float(series.fallen),
        "split": float(series.counts["groups_split"]),
        "set_up_p99_ms": float(max(h.get_value_at_percentile(99.0) for h in series.set_ups)),
    }
    # The operators' own weights: the whole run, the worst 10 s, the worst class, the worst member.
    found["goal"] = (
        0.5 * found["service"]
        + 0.05 * found["worst_window"]
        + 0.2 * found["worst_class"]
        + 0.25 * found["worst_member"]
    )
    return {name: round(value, 6) for name, value in found.items()}


def _series(series: SimulationResult) -> dict[str, Any]:
    """What plots are made of, rounded: a run of a minute takes some 20 KB."""
    return {
        "ratio": np.round(series.ratio, 4).tolist(),
        "fill": np.round(series.fill, 4).tolist(),
        "moved": series.moved_by,
        "refused": series.refused_by,
        "wanted": np.round(series.wanted, 1).tolist(),
        "served": np.round(series.served, 1).tolist(),
        "fills": np.round(series.fills, 3).tolist(),
        "set_ups": [
            {"n": h.get_total_count()} | {str(p): float(h.get_value_at_percentile(p)) for p in PERCENTILES}
            for h in series.set_ups
        ],
    }


def play(scenario: Scenario, seed: int, variant: Variant, policy: str, processes: int = 1) -> Line:
    """One run; the same arguments give the same line, but for how long it took."""
    began = time.monotonic()
    series = simulate(
        scenario.size.spec(seed),
        variant.mover,
        variant.options(),
        scenario.seconds,
        processes,
        troubles=scenario.troubles,
        policy=policy,
    )
    return {
        "scenario": scenario.name,
        "seed": seed,
        "variant": variant.name,
        "metrics": metrics(scenario, series),
        "counts": dict(sorted(series.counts.items())),
        "series": _series(series),
        "took_s": round(time.monotonic() - began, 2),
    }


def head(experiment: Experiment, root: Path, policies: dict[str, str]) -> Line:
    """What made the results: the whole experiment, the policies' texts, the revision and the versions."""
    return {
        "experiment": json.loads(msgspec.json.encode(experiment)),
        "policies": policies,
        "revision": revision(root),
        "python": platform.python_version(),
        "libraries": {name: library_version(name) for name in LIBRARIES},
    }


def library_version(name: str) -> str:
    try:
        return version(name)
    except PackageNotFoundError:
        return ""


def revision(root: Path) -> str:
    told = subprocess.run(
        ["git", "describe", "--always", "--dirty"], cwd=root, capture_output=True, text=True, check=False
    )
    return told.stdout.strip()


class Results:
    """A file of JSON lines: the head, and a line for each run. A line that was cut short is left out."""

    def __init__(self, file: Path) -> None:
        self.file = file
        self.head: Line = {}
        self.runs: list[Line] = []
        self._sound = 0
        if file.exists():
            self._read()

    def _read(self) -> None:
        data = self.file.read_bytes()
        for line in data.splitlines(keepends=True):
            if not line.endswith(b"\n"):
                break
            try:
                found = json.loads(line)
            except ValueError:
                break
            self._sound += len(line)
            if not self.head:
                self.head = found
            else:
                self.runs.append(found)

    def start(self, made_by: Line) -> None:
        """Raises ValueError where the file holds another experiment's results."""
        if self.head:
            for key in ("experiment", "policies"):
                if self.head[key] != made_by[key]:
                    raise ValueError(f"{self.file}: holds results of another {key}; name another file")
            with self.file.open("rb+") as out:
                out.truncate(self._sound)
        else:
            self.file.write_bytes(b"")
            self._append(made_by)
            self.head = made_by

    def add(self, run: Line) -> None:
        self._append(run)
        self.runs.append(run)

    def _append(self, line: Line) -> None:
        with self.file.open("ab") as out:
            out.write(json.dumps(line, separators=(",", ":")).encode() + b"\n")
            out.flush()
            os.fsync(out.fileno())

    def done(self) -> set[tuple[str, int, str]]:
        return {(run["scenario"], run["seed"], run["variant"]) for run in self.runs}

    def values(self, variant: str, metric: str) -> dict[tuple[str, int], float]:
        """By scenario and seed."""
        found = {}
        for run in self.runs:
            if run["variant"] == variant:
                found[(run["scenario"], run["seed"])] = float(run["metrics"][metric])
        return found


def run(
    experiment: Experiment, file: Path, root: Path, processes: int, tell: Callable[[Line, int, int], None]
) -> Results:
    """Play what is not there yet; stopped at any moment it goes on from there the next time."""
    policies = {v.name: read_policy(v.policy, root) for v in experiment.variants}
    results = Results(file)
    results.start(head(experiment, root, policies))
    done = results.done()
    wanted = [job for job in jobs(experiment) if (job[0].name, job[1], job[2].name) not in done]
    total = len(wanted)
    with ProcessPoolExecutor(processes, mp_context=get_context("spawn")) as pool:
        waiting = [pool.submit(play, s, seed, v, policies[v.name]) for s, seed, v in wanted]
        try:
            for number, future in enumerate(as_completed(waiting), 1):
                results.add(future.result())
                tell(results.runs[-1], number, total)
        except BaseException:
            for future in waiting:
                future.cancel()
            raise
    return results


def jobs(experiment: Experiment) -> Iterator[tuple[Scenario, int, Variant]]:
    """Variants of one day next to each other, so that an interrupted run has whole pairs."""
    for seed in experiment.seeds:
        for scenario in experiment.scenarios:
            for variant in experiment.variants:
                yield scenario, seed, variant
