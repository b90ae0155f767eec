"""Runs of an experiment's sizes and seeds; each appends a JSON line to the result file."""

from __future__ import annotations

import asyncio
import json
import platform
import signal
from collections.abc import Callable
from pathlib import Path

import msgspec

from sageturn.lab.runner.result_file import LIBRARIES, Line, Results, library_version, revision
from sageturn.lab.scale.plan import ScaleExperiment, Size
from sageturn.lab.scale.predictions import compare_predictions, encode_predictions, predict
from sageturn.lab.scale.scale_run import run_size

ProgressReporter = Callable[[str], None]


def encode_head(experiment: ScaleExperiment, root: Path) -> Line:
    """Return the first line of a result file: the experiment, the revision and the libraries."""
    return {
        "experiment": json.loads(msgspec.json.encode(experiment)),
        "policies": {},
        "revision": revision(root),
        "python": platform.python_version(),
        "system": platform.release(),
        "libraries": {name: library_version(name) for name in LIBRARIES},
    }


def run(
    experiment: ScaleExperiment, file: Path, root: Path, report_progress: ProgressReporter, only: str = ""
) -> Results:
    """Run the sizes and seeds that the result file lacks; ``only`` names one size, or is empty for all.

    Raises:
        KeyboardInterrupt: The command was interrupted. The current run and all its processes have ended.
    """
    results = Results(file)
    results.start(encode_head(experiment, root))
    completed = results.completed_runs()
    # Sizes to be predicted are run last, since their predictions need the results of the others.
    for size in sorted(experiment.sizes, key=lambda size: size.predict):
        for seed in experiment.seeds:
            is_done = (size.name, seed, size.spread) in completed
            if not is_done and only in ("", size.name):
                results.add(_run_line(experiment, size, seed, results, root, report_progress))
    return results


def _run_line(
    experiment: ScaleExperiment,
    size: Size,
    seed: int,
    results: Results,
    root: Path,
    report_progress: ProgressReporter,
) -> Line:
    """Run one size with one seed, after predicting it if ``predict`` is set; return its result line."""
    predicted = predict(results.runs, size) if size.predict else {}
    if predicted:
        values = ", ".join(f"{metric} {found.value:.4g}" for metric, found in predicted.items())
        report_progress(f"{size.name}: predicted {values}")
    measured = _run_interruptibly(experiment, size, seed, report_progress)
    line = {
        "scenario": size.name,
        "seed": seed,
        "variant": size.spread,
        "revision": revision(root),
        **measured,
    }
    if predicted:
        line["predicted"] = encode_predictions(predicted)
    return compare_predictions(line)


def _run_interruptibly(
    experiment: ScaleExperiment, size: Size, seed: int, report_progress: ProgressReporter
) -> Line:
    """Run one size. Raise KeyboardInterrupt on SIGINT or SIGTERM, once the run's processes have ended."""

    async def run_until_signal() -> Line:
        loop = asyncio.get_running_loop()
        running = asyncio.ensure_future(run_size(experiment, size, seed, report_progress))
        for number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(number, running.cancel)
        try:
            return await running
        except asyncio.CancelledError:
            raise KeyboardInterrupt from None

    return asyncio.run(run_until_signal())
