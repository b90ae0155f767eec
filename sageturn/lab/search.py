"""Where a fleet breaks, and which days hurt most."""

from __future__ import annotations

import json
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from multiprocessing import get_context
from pathlib import Path
from typing import Any

import msgspec
import numpy as np

from sageturn.lab.experiment import Scenario, Size, Variant
from sageturn.lab.faults import FAULT_KINDS, ScheduledFault
from sageturn.lab.runs import play

# What a knob of ``sweep`` turns: a field of the size, or of every trouble.
SIZE_KNOBS = ("connections", "room", "store_headroom", "life_s", "hosts", "relays")
TROUBLE_KNOBS = ("strength", "part", "length_s")
STEPS = 8  # halvings of the span in which a metric breaks: to a part in 256 of it
SHRINKS = 40  # runs at most in which a day is made smaller
KEPT = 0.8  # a smaller day must still hurt this much of what the whole one did


def turned(scenario: Scenario, knob: str, value: float) -> Scenario:
    """The scenario with one knob turned. Raises ValueError for a knob that there is not."""
    if knob in SIZE_KNOBS:
        whole = knob in ("connections", "hosts", "relays")
        size = msgspec.structs.replace(scenario.size, **{knob: round(value) if whole else value})
        return msgspec.structs.replace(scenario, size=size)
    if knob in TROUBLE_KNOBS:
        troubles = tuple(ScheduledFault(**{**_plain(trouble), knob: value}) for trouble in scenario.troubles)
        return msgspec.structs.replace(scenario, troubles=troubles)
    if knob.startswith("rebalance."):
        return scenario
    raise ValueError(f"{knob}: must be one of {', '.join((*SIZE_KNOBS, *TROUBLE_KNOBS))} or rebalance.KEY")


def _plain(trouble: ScheduledFault) -> dict[str, Any]:
    found: dict[str, Any] = msgspec.to_builtins(trouble)
    return found


def _variant(variant: Variant, knob: str, value: float) -> Variant:
    if not knob.startswith("rebalance."):
        return variant
    key = knob.removeprefix("rebalance.")
    return msgspec.structs.replace(variant, rebalance={**variant.rebalance, key: value})


def _mean(args: tuple[Scenario, Variant, str, tuple[int, ...], str]) -> float:
    scenario, variant, policy, seeds, metric = args
    return float(np.mean([play(scenario, seed, variant, policy)["metrics"][metric] for seed in seeds]))


@dataclass(frozen=True, slots=True)
class Point:
    value: float
    metric: float


def sweep(
    scenario: Scenario,
    variant: Variant,
    policy: str,
    seeds: tuple[int, ...],
    knob: str,
    values: list[float],
    metric: str,
    processes: int,
) -> list[Point]:
    """The metric's mean over the seeds at each value."""
    jobs = [
        (turned(scenario, knob, value), _variant(variant, knob, value), policy, seeds, metric)
        for value in values
    ]
    with ProcessPoolExecutor(processes, mp_context=get_context("spawn")) as pool:
        found = list(pool.map(_mean, jobs))
    return [Point(value, mean) for value, mean in zip(values, found, strict=True)]


def breaks_at(points: list[Point], bound: float, at: Callable[[float], float]) -> float | None:
    """The value at which the metric crosses ``bound``, found between the two points around it by halving.

    None where no two points that follow each other lie on its two sides.
    """
    for low, high in zip(points, points[1:], strict=False):
        if (low.metric < bound) != (high.metric < bound):
            left, right = low.value, high.value
            for _ in range(STEPS):
                middle = (left + right) / 2.0
                if (at(middle) < bound) == (low.metric < bound):
                    left = middle
                else:
                    right = middle
            return (left + right) / 2.0
    return None


# ---------------------------------------------------------------- days that hurt


def draw_day(rng: np.random.Generator, number: int, size: Size, seconds: float) -> Scenario:
    """One to three troubles of any kinds, within what operators have seen."""
    troubles = []
    for _ in range(int(rng.integers(1, 4))):
        kind = str(rng.choice(list(FAULT_KINDS)))
        start_s = float(np.round(rng.uniform(5.0, seconds * 0.6), 1))
        length_s = float(np.round(rng.uniform(2.0, min(25.0, seconds - start_s)), 1))
        strength = float(np.round(rng.uniform(1.5, 8.0 if kind in ("slow", "store") else 3.0), 1))
        part = float(np.round(rng.uniform(0.05, 0.5), 2))
        troubles.append(ScheduledFault(kind, start_s, length_s, part, strength))
    return Scenario(f"hunted-{number}", size, seconds, tuple(troubles))


def hunt(
    size: Size,
    seconds: float,
    variant: Variant,
    policy: str,
    days: int,
    seed: int,
    metric: str,
    processes: int,
    tell: Callable[[str], None],
) -> list[tuple[float, Scenario]]:
    """Days in the order of what they cost against a calm one; the worst comes first, made small."""
    rng = np.random.Generator(np.random.PCG64(seed))
    drawn = [draw_day(rng, number, size, seconds) for number in range(days)]
    calm = Scenario("calm", size, seconds)
    seeds = (seed,)
    with ProcessPoolExecutor(processes, mp_context=get_context("spawn")) as pool:
        jobs = [(day, variant, policy, seeds, metric) for day in (calm, *drawn)]
        usual, *found = pool.map(_mean, jobs)
        ranked = sorted(zip((usual - value for value in found), drawn, strict=True), key=lambda x: -x[0])
        tell(f"calm {usual:.3f}; the worst lose {', '.join(f'{loss:.3f}' for loss, _ in ranked[:5])}")
        worst_loss, worst = ranked[0]
        small = shrink(
            worst,
            lambda day: usual - pool.submit(_mean, (day, variant, policy, seeds, metric)).result(),
            KEPT * worst_loss,
            tell,
        )
    return [(worst_loss, small), *ranked[1:]]


def shrink(
    day: Scenario, loses: Callable[[Scenario], float], least: float, tell: Callable[[str], None]
) -> Scenario:
    """The smallest day on the way down that still loses ``least``: fewer troubles, shorter, weaker."""
    runs = 0
    changed = True
    while changed and runs < SHRINKS:
        changed = False
        for smaller in _smaller(day):
            runs += 1
            if loses(smaller) >= least:
                tell(f"smaller: {describe(smaller)}")
                day, changed = smaller, True
                break
            if runs >= SHRINKS:
                break
    return day


def _smaller(day: Scenario) -> list[Scenario]:
    found = []
    for number in range(len(day.troubles)):
        others = day.troubles[:number] + day.troubles[number + 1 :]
        if others:
            found.append(msgspec.structs.replace(day, troubles=others))
    for number, trouble in enumerate(day.troubles):
        plain = _plain(trouble)
        for change in (
            {"length_s": round(trouble.length_s / 2.0, 2)},
            {"part": round(trouble.part / 2.0, 3)},
            {"strength": round(1.0 + (trouble.strength - 1.0) / 2.0, 2)},
        ):
            if trouble.length_s < 1.0 and "length_s" in change:
                continue
            if trouble.part < 0.05 and "part" in change:
                continue
            if trouble.strength < 1.2 and "strength" in change:
                continue
            troubles = (
                *day.troubles[:number],
                ScheduledFault(**{**plain, **change}),
                *day.troubles[number + 1 :],
            )
            found.append(msgspec.structs.replace(day, troubles=troubles))
    return found


def describe(day: Scenario) -> str:
    return "; ".join(
        f"{t.kind} from {t.start_s:g} s for {t.length_s:g} s, part {t.part:g}, strength {t.strength:g}"
        for t in day.troubles
    )


def write_day(file: Path, day: Scenario, variant: Variant, seed: int, why: str) -> None:
    """An experiment of this one day, to be kept as a regression."""
    name = file.stem.lower().replace(" ", "-")
    plain = {
        "name": name,
        "why": why,
        "seeds": [seed],
        "variants": [msgspec.to_builtins(variant)],
        "scenarios": [msgspec.to_builtins(day)],
    }
    file.write_text(json.dumps(plain, indent=2) + "\n", encoding="utf-8")
