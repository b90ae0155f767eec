"""What a scale run's lines say: tables, fits and a plot."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")

import matplotlib.pyplot as plt  # noqa: E402  (the backend is chosen first: there is no screen)

from sageturn.lab.result_file import Results  # noqa: E402
from sageturn.lab.scale.results import fits, usable, value  # noqa: E402

Line = dict[str, Any]

# The operators' allowance for control, for each relay.
OCTETS_GOAL, CORE_GOAL, HELD_GOAL_S = 27_000.0, 0.03, 4.0
NEVER_S = 30.0  # where a plot shows what never came


def _shown(number: float | None, form: str = ".3g") -> str:
    return "-" if number is None else format(number, form)


def table(results: Results) -> list[list[str]]:
    """A row for each run and phase."""
    rows = [
        [
            "size",
            "spread",
            "seed",
            "members",
            "keys",
            "links",
            "phase",
            "KB/s a member",
            "busiest",
            "core a member",
            "busiest",
            "last held p50",
            "p99",
            "worst s",
            "never",
            "equal",
            "",
        ]
    ]
    for line in results.runs:
        if "failed" in line:
            gaps = ["-"] * 10
            rows.append(
                [
                    line["scenario"],
                    line["spread"],
                    str(line["seed"]),
                    str(line["members"]),
                    str(line["keys"]),
                    "-",
                    *gaps,
                    line["failed"][:60],
                ]
            )
            continue
        for name, phase in line["phases"].items():
            used = phase.get("hollow") or phase.get("real") or {}
            last = phase.get("changes", {}).get("last", {})
            rows.append(
                [
                    line["scenario"],
                    line["spread"],
                    str(line["seed"]),
                    str(line["members"]),
                    str(line["keys"]),
                    f"{line['links']:g}",
                    name,
                    _shown(used["octets"] / 1e3),
                    _shown(used["octets_most"] / 1e3),
                    _shown(used["core"]),
                    _shown(used["core_busiest"]),
                    _shown(last.get("p50")),
                    _shown(last.get("p99")),
                    _shown(last.get("worst")),
                    str(last.get("never", "-")),
                    "yes" if line["equal"]["all"] else f"{line['equal']['kinds']} kinds",
                    "saturated" if phase["saturated"] else "",
                ]
            )
    return rows


def fit_lines(results: Results) -> list[str]:
    """Each slope with its interval and how straight it is; and the predictions beside what came."""
    told = []
    for spread in dict.fromkeys(line["spread"] for line in results.runs):
        for metric, slope in fits(results.runs, spread).items():
            parts = [
                f"{v:.4g} a {t} ({a:.4g} to {b:.4g})"
                for t, v, a, b in zip(slope.terms, slope.values, slope.low, slope.high, strict=True)
            ]
            straight = "straight" if slope.straight else "NOT straight"
            told.append(
                f"{spread}: idle {metric} a member = {' + '.join(parts)}; {slope.sizes} sizes, "
                f"r2 {slope.r2:.4f}, worst residual {slope.worst:.0%}: {straight}"
            )
    for line in results.runs:
        for metric, p in line.get("predicted", {}).items():
            came = "not played"
            if "came" in p:
                came = f"came {p['came']:.4g}, {'inside' if p['inside'] else 'OUTSIDE'}"
            told.append(
                f"{line['scenario']} (seed {line['seed']}): {metric} predicted {p['value']:.4g} "
                f"({p['low']:.4g} to {p['high']:.4g}) before it was played, {came}"
            )
    return told


def plot(results: Results, file: Path) -> None:
    """Octets, processor time, and time until the last holds a change, by members; a line for each number
    of keys and spread, and the operators' allowance."""
    figure, axes = plt.subplots(1, 3, figsize=(14, 4.2), layout="constrained")
    sound = [line for line in results.runs if usable(line)]
    sizes = sorted({line["members"] for line in sound})
    series = sorted({(line["spread"], line["keys"]) for line in sound})
    for number, (spread, keys) in enumerate(series):
        lines = sorted(
            (ln for ln in sound if (ln["spread"], ln["keys"]) == (spread, keys)), key=lambda ln: ln["members"]
        )
        label, mark = f"{spread}, {keys:,} keys", "osd^vx*"[number % 7]
        for axis, metric in ((axes[0], "octets"), (axes[1], "core")):
            points = [(ln["members"], v) for ln in lines if (v := value(ln, metric))]
            if points:
                axis.plot(*zip(*points, strict=True), marker=mark, label=label)
        held = [(ln["members"], ln["phases"]["changes"]["changes"]["last"].get("p99")) for ln in lines]
        came = [(n, p) for n, p in held if p]
        if came:
            axes[2].plot(*zip(*came, strict=True), marker=mark, label=label)
        for members in (n for n, p in held if not p):
            axes[2].plot([members], [NEVER_S], marker="x", color="r", label=f"not held at the end: {label}")
    titles = (
        ("control, octets a second a member, idle", OCTETS_GOAL),
        ("control, part of a core, idle", CORE_GOAL),
        ("a change held by the last member, p99, s", HELD_GOAL_S),
    )
    for axis, (title, goal) in zip(axes, titles, strict=True):
        axis.axhline(goal, color="k", linestyle="--", linewidth=1)
        axis.set(title=title, xscale="log", yscale="log", xlabel="members")
        axis.set_xticks(sizes, [str(n) for n in sizes], fontsize=7)
        axis.minorticks_off()
        if axis.lines[1:]:
            axis.legend(fontsize=7)
    figure.suptitle(
        f"{results.head['experiment']['name']}, revision {results.head['revision']}; measured "
        "points only, nothing extrapolated",
        fontsize=9,
    )
    figure.savefig(file, dpi=110)
    plt.close(figure)
