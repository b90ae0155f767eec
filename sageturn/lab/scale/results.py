"""Plays an experiment's sizes and seeds, and keeps a JSON line for each; fits what was measured."""

from __future__ import annotations

import asyncio
import json
import platform
import signal
from collections.abc import Callable, Iterable
from contextlib import suppress
from pathlib import Path
from typing import Any

import msgspec

from sageturn.lab.result_file import LIBRARIES, Results, library_version, revision
from sageturn.lab.scale.fit import SIZES_LEAST, Fit, fit
from sageturn.lab.scale.plan import ScaleExperiment, Size
from sageturn.lab.scale.play import play

Line = dict[str, Any]

# Terms are those that reading the code suggests: what a member's ends of links cost, and what clients do.
LINK_TERMS = ("links", "links*keys", "links*news")
CLIENT_TERMS = ("1", "clients")


def head(experiment: ScaleExperiment, root: Path) -> Line:
    return {
        "experiment": json.loads(msgspec.json.encode(experiment)),
        "policies": {},
        "revision": revision(root),
        "python": platform.python_version(),
        "system": platform.release(),
        "libraries": {name: library_version(name) for name in LIBRARIES},
    }


def shape(line: Line) -> dict[str, float]:
    """Every term of a run, or of one that is to come: of a member on average, its ends of links, these times
    the keys, and times what all say of themselves a second.
    """
    ends = 2.0 * line["links"] / line["members"]
    news = line["members"] / line["state_s"] if line["state_s"] else 0.0
    links = {"links": ends, "links*keys": ends * line["keys"], "links*news": ends * news}
    return {**links, "1": 1.0, "clients": float(line["clients_each"])}


def told_apart(lines: list[Line], terms: tuple[str, ...]) -> list[str]:
    """Which terms these sizes can tell from each other: one that never changes beside another is left out."""
    shapes = [shape(line) for line in lines]
    found = [terms[0]]
    for term in terms[1:]:
        if len({round(s[term] / s[terms[0]], 9) for s in shapes}) > 1:
            found.append(term)
    return found


def usable(line: Line) -> bool:
    """A run whose processes were held up tells nothing of a slope."""
    return "failed" not in line and not line["phases"]["idle"]["saturated"] and line["links"] > 0


def over_all(line: Line, field: str) -> float | None:
    """Of hollow and real members together, at rest."""
    counts = {"real": line["real"], "hollow": line["members"] - line["real"]}
    idle = line["phases"]["idle"]
    parts = [(n, idle[role][field]) for role, n in counts.items() if role in idle]
    return float(sum(n * v for n, v in parts) / sum(n for n, _ in parts)) if parts else None


def real_core(line: Line) -> float | None:
    found = line["phases"]["idle"].get("real")
    return float(found["core"]) if found and line["clients_each"] else None


def real_mb(line: Line) -> float | None:
    return float(line["memory"]["real_mb"][0]) if line["real"] and line["clients_each"] else None


# What is fitted, by which terms, and how it is read from a line.
METRICS: dict[str, tuple[tuple[str, ...], Callable[[Line], float | None]]] = {
    "octets": (LINK_TERMS, lambda line: over_all(line, "octets")),
    "core": (LINK_TERMS, lambda line: over_all(line, "core")),
    "real_core": (CLIENT_TERMS, real_core),
    "real_mb": (CLIENT_TERMS, real_mb),
}


def value(line: Line, metric: str) -> float | None:
    return METRICS[metric][1](line)


def fits(lines: Iterable[Line], spread: str) -> dict[str, Fit]:
    """Through all sizes of one spread that are usable; none under four sizes."""
    chosen = [line for line in lines if usable(line) and line["spread"] == spread]
    found = {}
    for metric, (terms, _) in METRICS.items():
        pairs = [(line, v) for line in chosen if (v := value(line, metric))]
        if not pairs:
            continue
        kept = told_apart([line for line, _ in pairs], terms)
        rows = [[shape(line)[term] for term in kept] for line, _ in pairs]
        if len({tuple(row) for row in rows}) >= SIZES_LEAST:
            with suppress(ValueError):
                found[metric] = fit(kept, rows, [v for _, v in pairs])
    return found


def predict(lines: Iterable[Line], size: Size) -> Line:
    """What a size that was not played yet should come to, if the smaller ones lie on lines."""
    row = shape(
        {
            "links": size.links,
            "members": size.members,
            "keys": size.keys,
            "state_s": size.state_s,
            "clients_each": size.clients,
        }
    )
    told: Line = {}
    for metric, line in fits(lines, size.spread).items():
        if METRICS[metric][0] == CLIENT_TERMS and not size.clients:
            continue
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
            marked = {"scenario": size.name, "seed": seed, "variant": size.spread, "revision": revision(root)}
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
