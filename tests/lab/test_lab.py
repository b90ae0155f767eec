"""Tests of the lab: its model of an endpoint, simulations, experiments, comparisons and searches."""

from __future__ import annotations

import sys
import tomllib
from dataclasses import replace
from math import exp
from pathlib import Path

import msgspec
import numpy as np
import pytest

from sageturn.decision import balancer, fleet
from sageturn.lab.errors import (
    InvalidExperimentError,
    PolicyNotFoundError,
    ResultsMismatchError,
    UnknownParameterError,
)
from sageturn.lab.faults.fault import FaultKind, ScheduledFault
from sageturn.lab.loopback.loopback_runner import deployed
from sageturn.lab.model.endpoint_model import EndpointModel
from sageturn.lab.model.fleet import make_endpoints
from sageturn.lab.model.fleet_spec import FleetSpec
from sageturn.lab.model.planner_kind import PlannerKind
from sageturn.lab.model.policy import POLICY_MODULES, load_policy, read_policy
from sageturn.lab.model.sampling import ClientSampler
from sageturn.lab.model.simulation_result import SimulationResult
from sageturn.lab.model.zone_frontend import ZoneFrontend
from sageturn.lab.reports.compare import compare, difference
from sageturn.lab.reports.report import markdown, page
from sageturn.lab.runner.environment import answered_in_time_ratios
from sageturn.lab.runner.experiment import Scenario, Size, read_experiment
from sageturn.lab.runner.experiment_runner import run_experiment
from sageturn.lab.runner.result_file import Line, Results
from sageturn.lab.runner.scenario_shrinking import shrink
from sageturn.lab.runner.search import Point, find_crossing, set_parameter
from sageturn.lab.runner.simulation import RelayVariant, simulate
from sageturn.rebalance.options import RebalanceOptions

SMALL = FleetSpec(
    relays=3, endpoints=6, initial_endpoints=4, connections=300, mean_lifetime_s=300.0, join_s=5.0
)


def make_endpoint(**fields: float) -> EndpointModel:
    return EndpointModel("h", "k", 1.0, 100.0, mean_load=1.0, **fields)  # type: ignore[arg-type]


def test_endpoint_slows_with_load_and_charges_group_cost_once() -> None:
    endpoint = make_endpoint()
    idle_ms = endpoint.setup_time_ms(0.0)
    for _ in range(40):
        endpoint.add_connection(1.0, "")
    assert endpoint.setup_time_ms(0.0) > 1.5 * idle_ms
    for _ in range(4):
        endpoint.add_connection(1.0, "g")
    assert endpoint.total_load() == 44.0 + 1.5 and endpoint.group_count == 1
    for _ in range(4):
        endpoint.remove_connection(1.0, "g")
    assert endpoint.total_load() == 40.0
    for _ in range(60):
        endpoint.add_connection(1.0, "")
    assert not endpoint.admit(0.0, 1.0) and not endpoint.crashed


def test_cold_endpoint_crashes_only_above_its_intake_bound() -> None:
    # The warm-up pace at the start is 12% of 100 over 24 s: 0.5/s. The bound is four times that over 3 s.
    overloaded, paced = make_endpoint(started_s=0.0), make_endpoint(started_s=0.0)
    for number in range(30):
        overloaded.admit(0.1 + number * 0.05, 1.0)
        paced.admit(0.1 + number * 0.6, 1.0)
    assert overloaded.crashed and not paced.crashed and paced.peak_intake_ratio < 1.0
    assert not overloaded.admit(60.0, 1.0), "a crashed endpoint accepts no connection"


def run(
    planner: PlannerKind, processes: int = 1, seconds: float = 150.0, spec: FleetSpec = SMALL
) -> SimulationResult:
    options = RebalanceOptions(mode="on", part_per_min=0.4)
    return simulate(spec, RelayVariant(planner, options), seconds, processes=processes)


def setup_counts(result: SimulationResult) -> list[int]:
    return [histogram.get_total_count() for histogram in result.setup_histograms]


def test_a_simulation_does_not_depend_on_its_number_of_processes() -> None:
    one, three = run(PlannerKind.ON, 1, 60.0), run(PlannerKind.ON, 3, 60.0)
    assert one.imbalance_ratios == three.imbalance_ratios and one.counts == three.counts
    assert setup_counts(one) == setup_counts(three)
    assert run(PlannerKind.ON, 1, 60.0, replace(SMALL, seed=2)).imbalance_ratios != one.imbalance_ratios


def test_planner_balances_a_small_fleet_without_splitting_groups_or_crashes() -> None:
    unbalanced, balanced = run(PlannerKind.OFF, 1), run(PlannerKind.ON, 1)
    assert sum(balanced.imbalance_ratios[-20:]) < sum(unbalanced.imbalance_ratios[-20:]) - 20 * 0.1
    assert balanced.counts["moved"] > 0 and unbalanced.counts["moved"] == 0
    assert (
        balanced.counts["groups_split"] == balanced.counts["checkin_moved"] == balanced.crashed_endpoints == 0
    )
    assert balanced.peak_intake_ratio < 1.0


@pytest.mark.timeout(40)
async def test_real_relays_run_between_fake_endpoints_and_clients() -> None:
    spec = FleetSpec(
        relays=2, endpoints=3, initial_endpoints=2, connections=60, mean_lifetime_s=20.0, join_s=0.5
    )
    async with deployed(spec, PlannerKind.ON, {"tick_s": 0.1}) as deployment:
        result = await deployment.run(2.0)
    counts = result.observations.counts
    assert result.malformed_requests == 0 and result.crashed_endpoints == 0
    assert counts["set_up"] > 0 and result.samples[-1].established > 30
    assert counts["error"] == counts["unanswered"] == 0
    assert len(result.planner_states) == 2
    assert all(state["mode"] == "on" for state in result.planner_states)


# ---------------------------------------------------------------- faults, experiments, comparisons


def simulate_small_fleet(*faults: ScheduledFault, seconds: float = 40.0, seed: int = 1) -> SimulationResult:
    spec = Size(connections=300, hosts=6, relays=2, capacity_ratio=2.4).spec(seed)
    variant = RelayVariant(PlannerKind.OFF, RebalanceOptions())
    return simulate(spec, variant, seconds, faults=faults)


def test_a_relay_may_be_removed_by_two_faults() -> None:
    # Removing the relay a second time raised ValueError.
    spec = FleetSpec(relays=6, endpoints=6, initial_endpoints=4)
    frontend = ZoneFrontend(spec)
    relay = next(number for number in range(spec.relays) if spec.zone(number) == spec.zone(0))
    for _ in range(2):
        frontend.remove_relays([relay])
    sampler = ClientSampler(spec, 0)
    assert relay not in {frontend.choose_relay(spec.zone(relay), sampler) for _ in range(50)}


def test_faults_that_kill_relays_may_overlap_and_the_relays_return_after_the_last() -> None:
    # The end of the first fault restarted all relays, although the second one was still active.
    faults = [ScheduledFault(FaultKind.RELAYS, start_s, 6.0, part=1.0) for start_s in (5.0, 8.0)]
    overlapping = simulate_small_fleet(*faults)
    first_alone, both_as_one = (
        simulate_small_fleet(ScheduledFault(FaultKind.RELAYS, 5.0, length_s, part=1.0))
        for length_s in (6.0, 9.0)
    )
    down_s = [
        sum(sum(second) == 0.0 for second in result.served)
        for result in (first_alone, overlapping, both_as_one)
    ]
    assert down_s[0] < down_s[1] == down_s[2]


@pytest.mark.parametrize("kind", list(FaultKind))
def test_each_fault_has_its_own_effect_and_ends(kind: FaultKind) -> None:
    calm = simulate_small_fleet()
    faulty = simulate_small_fleet(ScheduledFault(kind, 10.0, 8.0, 0.5, 4.0))
    counts = faulty.counts
    assert faulty.requested[4] == calm.requested[4], "a fault has no effect before its start"
    if kind == "slow":
        assert faulty.service() < calm.service() - 0.02
    elif kind == "store":
        assert (
            sum(counts[f"late_{name}"] for name in ("departures", "guest-checkin")) > 0
            or counts["refused"] > 0
        )
    elif kind in ("burst", "beyond"):
        # Arrivals are four times as frequent for a fifth of the run: all of them, or a tenant's 27%.
        assert counts["asked"] > calm.counts["asked"] * (1.3 if kind == "burst" else 1.08)
    elif kind == "reconnect":
        assert counts["dropped"] > 80
    elif kind in ("vanish", "restart", "relays"):
        assert counts["cut"] > 50
    elif kind == "drain":
        assert counts["cut"] < 50 and faulty.utilizations[-1].count(-1.0) == 3
    else:
        assert counts["asked"] >= calm.counts["asked"] * 0.9
    assert sum(faulty.requested[-1]) > 0.7 * sum(faulty.requested[5])


def test_message_times_are_those_of_a_queue() -> None:
    # M/M/1: a response takes longer than t with the probability exp(-(1 - load) t / service time).
    spec = FleetSpec(initial_endpoints=12, join_s=1e9)
    endpoint = make_endpoints(spec)[0]
    endpoint.add_connection(endpoint.capacity / 2.0, "")
    ratios = answered_in_time_ratios(spec.classes, endpoint, 0.0)
    objective_ms = spec.classes[1].message_objective_ms
    assert ratios[1][0] == pytest.approx(1.0 - exp(-0.5 * objective_ms / (6.0 / endpoint.size)))
    endpoint.add_connection(endpoint.capacity, "")
    endpoint.update_backlog(0.5, 0.5)
    assert endpoint.backlog_s == pytest.approx(0.25)
    assert answered_in_time_ratios(spec.classes, endpoint, 0.5)[1][0] == 0.0


EXPERIMENT = """
name = "two"
why = "a test"
seeds = [1, 2]
[[variants]]
name = "present"
[[variants]]
name = "again"
[[scenarios]]
name = "slow"
seconds = 20
size = {connections = 100, hosts = 4, relays = 1}
troubles = [{kind = "slow", start_s = 5, length_s = 10, part = 0.5, strength = 4}]
"""


def write_experiment(folder: Path, old: str = "", new: str = "") -> Path:
    file = folder / "two.toml"
    file.write_text(EXPERIMENT.replace(old, new) if old else EXPERIMENT)
    return file


@pytest.mark.parametrize(
    ("old", "new", "key"),
    [
        ('kind = "slow"', 'kind = "odd"', "troubles"),
        ("hosts = 4", "hots = 4", "hots"),
        ("hosts = 4", 'hosts = "4"', r"size\.hosts"),
        ('name = "again"', 'name = "present"', r"variants\[1\]\.name"),
        ("seeds = [1, 2]", "seeds = []", "seeds"),
        ("part = 0.5", "part = 2", "part"),
        ('name = "again"', 'name = "x"\nmover = "fast"', r"variants\[1\]\.mover"),
        ('name = "again"', 'name = "x"\nrebalance = {pace = 1}', r"variants\[1\]\.rebalance\.pace"),
        ("hosts = 4", "hosts = 4, early = 9", r"scenarios\[0\]\.size\.early"),
        ("[[variants]]", "[[", "two.toml"),
    ],
)
def test_a_bad_experiment_names_its_key(tmp_path: Path, old: str, new: str, key: str) -> None:
    with pytest.raises(InvalidExperimentError, match=key):
        read_experiment(write_experiment(tmp_path, old, new))


def test_an_interrupted_experiment_leaves_complete_results_and_continues(tmp_path: Path) -> None:
    experiment, out = read_experiment(write_experiment(tmp_path)), tmp_path / "out.jsonl"

    def stop(line: Line, number: int, total: int) -> None:
        if number == 2:
            raise KeyboardInterrupt

    with pytest.raises(KeyboardInterrupt):
        run_experiment(experiment, out, tmp_path, 2, stop)
    kept = out.read_bytes()
    out.write_bytes(kept + b'{"scenario": "slo')  # the last line is truncated
    results = run_experiment(experiment, out, tmp_path, 2, lambda *_: None)
    assert len(results.runs) == 4 and out.read_bytes().startswith(kept)
    assert len(Results(out).runs) == 4
    same = results.values("present", "goal"), results.values("again", "goal")
    assert same[0] == same[1], "equal variants have equal results with the same seeds"
    (overall, slow) = compare(results, "present", "again", "goal")
    assert overall.mean == 0.0 and not overall.is_significant and slow.scenario == "slow"
    assert "| slow | present | 2 |" in markdown(results) and "data:image/png" in page(results)
    other = msgspec.structs.replace(experiment, seeds=(7,))
    with pytest.raises(ResultsMismatchError, match="another experiment"):
        run_experiment(other, out, tmp_path, 1, lambda *_: None)


def test_differences_carry_a_confidence_interval() -> None:
    rng = np.random.default_rng(1)
    base = rng.normal(0.5, 0.1, 40)
    clear = difference("m", "", np.column_stack([base, base + 0.02 + rng.normal(0, 0.01, 40)]))
    assert clear.is_significant and clear.low < 0.02 < clear.high
    noise = difference("m", "", np.column_stack([base, base + rng.normal(0, 0.05, 40)]))
    assert not noise.is_significant and noise.needed_pairs > 40
    few = difference("m", "", np.column_stack([base[:3], base[:3] + np.array([0.01, 0.0, 0.02])]))
    assert few.low < 0.0 < few.high, "three pairs are too few for a significant difference"


def test_a_policy_is_loaded_from_a_file(tmp_path: Path) -> None:
    text = Path(balancer.__file__).read_text()
    other_text = text.replace("MIN_RETRY_AFTER_MS = 100.0", "MIN_RETRY_AFTER_MS = 200.0")
    assert other_text != text
    (tmp_path / "other.py").write_text(other_text)
    other = load_policy(read_policy("other.py", tmp_path))
    assert other is not balancer.Balancer and other.handle is not balancer.Balancer.handle
    assert other.handle.__globals__["MIN_RETRY_AFTER_MS"] == 200.0
    with pytest.raises(PolicyNotFoundError, match=r"gone.py"):
        read_policy("gone.py", tmp_path)


def test_a_policy_may_replace_any_policy_module(tmp_path: Path) -> None:
    text = Path(fleet.__file__).read_text()
    (tmp_path / "policy").mkdir()
    (tmp_path / "policy" / "fleet.py").write_text(text.replace("EJECTION_MS = 1500.0", "EJECTION_MS = 9.0"))
    other = load_policy(read_policy("policy", tmp_path))
    used = other.handle.__globals__["Fleet"]
    (tmp_path / "empty").mkdir()
    with pytest.raises(PolicyNotFoundError, match="holds none of"):
        read_policy("empty", tmp_path)
    assert used is not fleet.Fleet and used.record_failure.__globals__["EJECTION_MS"] == 9.0
    assert fleet.EJECTION_MS == 1500.0 and sys.modules["sageturn.decision.fleet"] is fleet


def test_the_files_of_a_policy_are_those_of_the_deployment() -> None:
    root = Path(__file__).parents[2]
    policy = tomllib.loads((root / "deploy" / "balancer.toml").read_text())["policy"]
    assert sorted(policy) == sorted(f"sageturn/decision/{module}.py" for module in POLICY_MODULES)


def test_bisection_finds_a_crossing_and_scenarios_are_shrunk() -> None:
    points = [Point(value, 1.0 - value) for value in (0.0, 0.4, 0.8)]
    crossing = find_crossing(points, 0.5, lambda value: 1.0 - value)
    assert crossing == pytest.approx(0.5, abs=0.01)
    assert find_crossing(points, 2.0, lambda value: 0.0) is None
    costly_fault = ScheduledFault("slow", 5.0, 16.0, 0.4, 4.0)
    whole = Scenario(
        "d", Size(), 40.0, (ScheduledFault("burst", 1.0, 5.0), costly_fault, ScheduledFault("flap", 1.0, 5.0))
    )

    def loss_of(scenario: Scenario) -> float:
        return max((fault.length_s / 16.0 for fault in scenario.faults if fault.kind == "slow"), default=0.0)

    shrunk = shrink(whole, loss_of, 0.5, lambda line: None)
    (left,) = shrunk.faults
    assert left.kind == "slow" and left.length_s == 8.0 and left.strength < 4.0
    assert set_parameter(whole, "strength", 2.0).faults[0].strength == 2.0
    with pytest.raises(UnknownParameterError, match="nonsense"):
        set_parameter(whole, "nonsense", 1.0)
