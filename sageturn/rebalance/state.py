"""Planner's state for operators, and its encoding in the record ``state/NODE/rebalance``."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from sageturn.rebalance.batches import BlockReason
from sageturn.rebalance.overload_signals import OverloadSignal
from sageturn.rebalance.plan import PlanPhase


@dataclass(frozen=True, slots=True)
class RebalanceState:
    """Planner's state after a tick. A ratio is an endpoint's utilization divided by the mean."""

    mode: str
    phase: PlanPhase
    explanation: str
    max_ratio: float
    min_ratio: float
    confidence: float  # see ``PoolUtilization.confidence``
    rate_per_s: float
    max_rate_per_s: float
    tokens: float
    in_flight_count: int
    remembered_clients: int
    migration_score: float
    counts: Mapping[str, int]  # counts since the start, by ``MigrationCount``
    signal_counts: Mapping[OverloadSignal, int]  # number of ticks at which each overload signal held
    block_counts: Mapping[BlockReason, int]  # counts of the last tick that sought batches


def encode_state(state: RebalanceState) -> dict[str, object]:
    """Return the stored record; operators and other replicas read its keys."""
    return {
        "mode": str(state.mode),
        "phase": state.phase.value,
        "why": state.explanation,
        "fullest": round(state.max_ratio, 3),
        "emptiest": round(state.min_ratio, 3),
        "trust": round(state.confidence, 2),
        "per_s": round(state.rate_per_s, 3),
        "top_per_s": round(state.max_rate_per_s, 3),
        "saved": round(state.tokens, 1),
        "on_way": state.in_flight_count,
        "remembered": state.remembered_clients,
        "useful": round(state.migration_score, 2),
        "counts": {str(name): count for name, count in sorted(state.counts.items())},
        "signs": {signal.value: count for signal, count in sorted(state.signal_counts.items())},
        "in_the_way": {reason.value: count for reason, count in state.block_counts.items()},
    }
