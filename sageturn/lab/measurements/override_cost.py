"""Measurement of the cost that the override actor adds to a request while no override is set."""

from __future__ import annotations

import time

import numpy as np

from sageturn import decision
from sageturn.core.balancer_actor import BalancerActor
from sageturn.core.clock import Clock
from sageturn.lab.reports.result_table import Row
from sageturn.overrides.actor import OverrideActor
from sageturn.overrides.options import OverrideOptions
from sageturn.store.store import Store

REQUEST_COUNT = 20_000
RUN_PAIR_COUNT = 7
ENDPOINT_COUNT = 20
GROUP_COUNT = 50
SETTINGS = decision.Settings(classes=(decision.RequestClass("c", 500.0),), groups=True)


def measure_cost() -> Row:
    """Time requests from arrival to end in the balancer's actor, with and without the override actor."""
    pairs = [
        (_request_us(with_override_actor=False), _request_us(with_override_actor=True))
        for _ in range(RUN_PAIR_COUNT)
    ]
    without, with_actor = (float(np.median(column)) for column in zip(*pairs, strict=True))
    baseline = [pair[0] for pair in pairs]
    return {
        "microseconds a request without": round(without, 2),
        "with, and none set": round(with_actor, 2),
        "more": f"{with_actor / without - 1.0:+.1%}",
        "spread of seven runs without": f"{max(baseline) / min(baseline) - 1.0:.1%}",
    }


def _request_us(with_override_actor: bool) -> float:
    """Return the mean microseconds of a request."""
    balancer_actor = BalancerActor(SETTINGS, 1, Clock(), lambda: None)
    if with_override_actor:
        OverrideActor(balancer_actor, OverrideOptions(), Store("lab"), lambda _: None)
    # The actor has no public method that handles an event without its queue, or that exposes its actions.
    handle = balancer_actor._handle
    endpoints = [decision.Endpoint(f"h{number}") for number in range(ENDPOINT_COUNT)]
    handle(decision.EndpointListEvent(decision.ListEventKind.FULL, endpoints))
    placed: list[str] = []
    balancer_actor.requests.instruct = lambda _, action: placed.append(getattr(action, "endpoint", ""))  # type: ignore
    started_s = time.perf_counter()
    for request_id in range(REQUEST_COUNT):
        group = f"g{request_id % GROUP_COUNT}"
        handle(decision.RequestArrived(request_id, "c", "t", 1e18, group))
        handle(decision.ConnectionEstablished(request_id, 0, placed[-1], 20.0))
        handle(decision.AttemptEnded(request_id, 0, placed[-1], decision.AttemptStatus.OK, final=True))
    return (time.perf_counter() - started_s) / REQUEST_COUNT * 1e6
