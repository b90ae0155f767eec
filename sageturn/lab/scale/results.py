"""Plays an experiment's sizes and seeds, and keeps a JSON line for each; fits what was measured."""

from __future__ import annotations

import asyncio
import json
import platform
import signal
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

import msgspec

from sageturn.lab.runs import LIBRARIES, Results, revision
from sageturn.lab.runs import _version as library_version
from sageturn.lab.scale.fit import SIZES_LEAST, Fit, fit
from sageturn.lab.scale.plan import ScaleExperiment, Size
from sageturn.lab.scale.play import play

Line = dict[str, Any]

# What is fitted: a name, and where it stands in a line. Terms are those that reading the code suggests.
TERMS = ("links", "links*keys", "links*news")
METRICS = {"octets": ("idle", "hollow", "octets"), "core": ("idle", "hollow", "core")}


def head(experiment: ScaleExperiment, root: Path) -> Line:
    return {
        "experiment": json.loads(msgspec.json.encode(experiment)), "policies": {},
        "revision": revision(root), "python": platform.python_version(), "system": platform.release(),
        "libraries": {name: library_version(name) for name in LIBRARIES},
    }  # fmt: skip


def terms(line: Line) -> list[float]:
    """Of a member on average: its ends of links, these times the keys, and times what all say of themselves
    a second.
    """
    ends = 2.0 * line["links"] / line["members"]
    news = line["members"] / line["state_s"] if line["state_s"] else 0.0
    return [ends, ends * line["keys"], ends * news]


def told_apart(lines: list[Line]) -> list[int]:
    """Which terms these sizes can tell from each other: one that never changes beside another is left out."""
    keys = {line["keys"] for line in lines}
    news = {line["members"] / line["state_s"] if line["state_s"] else 0.0 for line in lines}
    return [0, *([1] if len(keys) > 1 else []), *([2] if len(news) > 1 else [])]


def usable(line: Line) -> bool:
    """A run whose processes were held up tells nothing of a slope."""
    return "failed" not in line and not line["phases"]["idle"]["saturated"] and line["links"] > 0


def value(line: Line, metric: str) -> float | None:
    phase, role, field = METRICS[metric]
    found = line["phases"][phase].get(role)
    return None if found is None else float(found[field])


def fits(lines: Iterable[Line], spread: str) -> dict[str, Fit]:
    """Through all sizes of one spread that are usable; none under four sizes."""
    chosen = [line for line in lines if usable(line) and line["spread"] == spread]
    found = {}
    for metric in METRICS:
        pairs = [(terms(line), v) for line in chosen if (v := value(line, metric))]
        if len({tuple(t) for t, _ in pairs}) >= SIZES_LEAST:
            chosen_terms = told_apart(chosen)
            rows = [[t[n] for n in chosen_terms] for t, _ in pairs]
            try:
                found[metric] = fit([TERMS[n] for n in chosen_terms], rows, [v for _, v in pairs])
            except ValueError:
                continue
    return found


def predict(lines: Iterable[Line], size: Size) -> Line:
    """What a size that was not played yet should come to, if the smaller ones lie on lines."""
    shaped = {"links": size.links, "members": size.members, "keys": size.keys, "state_s": size.state_s}
    row = dict(zip(TERMS, terms(shaped), strict=True))
    told: Line = {}
    for metric, line in fits(lines, size.spread).items():
        middle, low, high = line.at([row[term] for term in line.terms])
        told[metric] = {"value": middle, "low": low, "high": high, "fit": line.to_json()}
    return told


def judged(line: Line) -> Line:
    """A prediction beside what came: whether it fell inside the interval, and the ratio."""
    for metric, told in line.get("predicted", {}).items():
        if "failed" not in line and (came := value(line, metric)) is not None:
            told["came"] = came
            told["ratio"] = round(came / told["value"], 4) if told["value"] else None
            told["inside"] = told["low"] <= came <= told["high"]
    return line


def run(
    experiment: ScaleExperiment, file: Path, root: Path, say: Callable[[str], None], only: str = ""
) -> Results:
    """Play what is not there yet. An interrupt ends the run in hand, with all its processes."""
    results = Results(file)
    results.start(head(experiment, root))
    done = results.done()
    # Those that are predicted come last: what they are reckoned from has to be there.
    sizes = sorted(experiment.sizes, key=lambda size: size.predict)
    for size in sizes:
        for seed in experiment.seeds:
            if (size.name, seed, size.spread) in done or (only and size.name != only):
                continue
            told = predict(results.runs, size) if size.predict else {}
            if told:
                say(f"{size.name}: predicted " + ", ".join(f"{m} {p['value']:.4g}" for m, p in told.items()))
            line = _play_one(experiment, size, seed, say)
            marked = {"scenario": size.name, "seed": seed, "variant": size.spread,
                      "revision": revision(root)}  # fmt: skip
            results.add(judged({**marked, **line, **({"predicted": told} if told else {})}))
    return results


def _play_one(experiment: ScaleExperiment, size: Size, seed: int, say: Callable[[str], None]) -> Line:
    async def go() -> Line:
        loop = asyncio.get_running_loop()
        playing = asyncio.ensure_future(play(experiment, size, seed, say))
        for number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(number, playing.cancel)
        try:
            return await playing
        except asyncio.CancelledError:
            raise KeyboardInterrupt from None

    return asyncio.run(go())
