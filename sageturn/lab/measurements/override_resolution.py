"""Measurement of the time to resolve overrides against an endpoint list: all at once, and a single change."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import replace
from functools import partial

import numpy as np

from sageturn import decision
from sageturn.lab.measurements.override_operations import set_operation
from sageturn.lab.reports.result_table import Row
from sageturn.overrides.model import Override, fold_operations
from sageturn.overrides.operations import OverrideKind, OverridePayload, Selector, SelectorAttribute
from sageturn.overrides.options import SafetyLimits
from sageturn.overrides.resolver import OverrideResolver

ENDPOINT_COUNT = 5000
OVERRIDE_COUNT = 500
CELL_COUNT = 50
CELL_OVERRIDE_INTERVAL = 50  # every 50th override selects a cell, the others one endpoint
REPETITIONS = 10
CHANGED_INTERVAL = 7  # every 7th override is changed
LIMITS = SafetyLimits(0.2, 0.1, 0.0)
KINDS = (OverrideKind.OUT_OF_SERVICE, OverrideKind.WEIGHT, OverrideKind.HOLD)
LATEST_MS = 1e12


def measure_resolution() -> Row:
    """Time the resolution of all overrides, and of changes of some of them one by one."""
    endpoints = _make_endpoints()
    overrides = _make_overrides()
    full_ms: list[float] = []
    change_ms: list[float] = []
    for _ in range(REPETITIONS):
        resolver = OverrideResolver(LIMITS)
        full_ms.append(_time_ms(partial(_resolve_all, resolver, overrides, endpoints)))
        for override in overrides[::CHANGED_INTERVAL]:
            # Removes one override and adds a copy as the newest, like an override that is set now.
            newer = replace(override, id=f"{override.id}-again", created_at_ms=1000.0 + len(change_ms))
            change_ms.append(_time_ms(partial(resolver.remove, override.id)))
            change_ms.append(_time_ms(partial(resolver.add, newer)))
    return {
        "hosts": len(endpoints),
        "overrides": len(overrides),
        "suspended": len(resolver.suspended),
        "whole, ms (median)": round(float(np.median(full_ms)), 1),
        "one change, ms p50": round(float(np.percentile(change_ms, 50)), 3),
        "one change, ms p99": round(float(np.percentile(change_ms, 99)), 3),
    }


def _resolve_all(
    resolver: OverrideResolver, overrides: list[Override], endpoints: list[decision.Endpoint]
) -> None:
    for override in overrides:
        resolver.add(override)
    resolver.apply_endpoint_list(endpoints, is_full=True)


def _time_ms(action: Callable[[], object]) -> float:
    started_s = time.perf_counter()
    action()
    return (time.perf_counter() - started_s) * 1000.0


def _make_endpoints() -> list[decision.Endpoint]:
    return [
        decision.Endpoint(
            f"h{number}",
            decision.EndpointStatus.READY,
            f"z{number % 20}",
            number % CELL_COUNT,
            0.0,
            1.0,
            f"k{number % 4}",
        )
        for number in range(ENDPOINT_COUNT)
    ]


def _make_overrides() -> list[Override]:
    rng = np.random.Generator(np.random.PCG64(1))
    return [_make_override(number, rng) for number in range(OVERRIDE_COUNT)]


def _make_override(number: int, rng: np.random.Generator) -> Override:
    kind = KINDS[number % len(KINDS)]
    if number % CELL_OVERRIDE_INTERVAL == 0:
        selector = Selector(SelectorAttribute.CELL, str(number % CELL_COUNT))
    else:
        selector = Selector(SelectorAttribute.ENDPOINT, f"h{int(rng.integers(ENDPOINT_COUNT))}")
    payload = OverridePayload(kind, selector, factor=0.5 if kind is OverrideKind.WEIGHT else 1.0)
    override = fold_operations([set_operation(f"x{number}", payload, number)], LATEST_MS)
    assert override is not None
    return override
