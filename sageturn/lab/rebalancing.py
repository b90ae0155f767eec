"""Command that measures rebalancing in comparison with *off* and with a naive policy.

python -m sageturn.lab.rebalancing loopback     # 4 relays, 12 endpoints, 2,000 connections, 6 minutes
python -m sageturn.lab.rebalancing simulated    # up to 1,000 endpoints, 200 relays, a million connections
python -m sageturn.lab.rebalancing cost         # CPU time and memory of the planner at 10,000 connections
"""

from __future__ import annotations

import argparse
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

import uvloop

from sageturn.lab.loopback.loopback_runner import Deployment, FleetSample, LoopbackResult, deployed
from sageturn.lab.measurements.planner_cost import PlannerCost
from sageturn.lab.model.client_event import ClientEvent
from sageturn.lab.model.fleet_spec import FleetSpec
from sageturn.lab.model.planner_kind import PLANNER_NAMES, PlannerKind
from sageturn.lab.model.simulation_result import SimulationResult
from sageturn.lab.reports.result_table import Row, loopback_row, print_table, simulated_row
from sageturn.lab.runner.simulation import RelayVariant, simulate
from sageturn.rebalance.options import RebalanceMode, RebalanceOptions

LOOPBACK_PROGRESS_INTERVAL_S = 15
SIMULATED_PROGRESS_INTERVAL_S = 20


# ---------------------------------------------------------------- loopback


@dataclass(frozen=True, slots=True)
class LoopbackJob:
    """Run on loopback with one planner, as it is passed to a worker process."""

    spec: FleetSpec
    planner: PlannerKind
    seconds: float
    show_progress: bool


async def _run_loopback(job: LoopbackJob) -> LoopbackResult:
    async with deployed(job.spec, job.planner, {}) as deployment:

        def on_sample(sample: FleetSample, _: Deployment) -> None:
            if job.show_progress and round(sample.elapsed_s) % LOOPBACK_PROGRESS_INTERVAL_S == 0:
                progress = f"{job.planner:6} {sample.elapsed_s:4.0f} s  ratio {sample.imbalance_ratio:.2f}"
                progress += f"  moved {sample.migrations}  standing {sample.established}"
                print(progress, file=sys.stderr, flush=True)

        return await deployment.run(job.seconds, on_sample)


def _measure_loopback(job: LoopbackJob) -> Row:
    return loopback_row(uvloop.run(_run_loopback(job)))


def measure_loopback(options: argparse.Namespace) -> None:
    """Run real relays on loopback with each planner; all planners run in parallel on the same machine."""
    spec = FleetSpec(connections=options.connections, seed=options.seed)
    planners = [PlannerKind(name) for name in options.planners]
    jobs = [LoopbackJob(spec, planner, options.seconds, not options.quiet) for planner in planners]
    with ProcessPoolExecutor(len(jobs)) as pool:
        rows = dict(zip(options.planners, pool.map(_measure_loopback, jobs), strict=True))
    title = f"loopback: {spec.relays} relays, {spec.endpoints} hosts, {spec.connections} connections"
    print_table(title, rows, options.json)


# ---------------------------------------------------------------- simulated


@dataclass(frozen=True, slots=True)
class SimulatedFleetSize:
    """Numbers of endpoints, relays and connections of a simulated fleet."""

    endpoints: int
    relays: int
    connections: int


SMALL = "small"
FLEET_SIZES = {
    SMALL: SimulatedFleetSize(12, 4, 2000),
    "100": SimulatedFleetSize(100, 20, 100_000),
    "300": SimulatedFleetSize(300, 60, 300_000),
    "1000": SimulatedFleetSize(1000, 200, 1_000_000),
}


def spec_of_size(name: str, seed: int) -> FleetSpec:
    """Return the fleet of a size in ``FLEET_SIZES``; except in the small one, 1/4 of endpoints join later."""
    if name == SMALL:
        return FleetSpec(seed=seed)
    size = FLEET_SIZES[name]
    # At the default lifetime, the arrival rate of so many connections would need all of the machine's cores.
    return FleetSpec(
        relays=size.relays,
        endpoints=size.endpoints,
        initial_endpoints=size.endpoints * 3 // 4,
        connections=size.connections,
        mean_lifetime_s=1800.0,
        zones=("hanoi", "hue", "danang", "saigon"),
        seed=seed,
    )


def measure_simulated(options: argparse.Namespace) -> None:
    """Simulate each size with each planner, one after the other."""
    for size in options.sizes:
        spec = spec_of_size(size, options.seed)
        rows = {name: _measure_simulated(spec, PlannerKind(name), options) for name in options.planners}
        title = f"simulated: {spec.endpoints} hosts, {spec.relays} relays, {spec.connections} connections"
        print_table(title, rows, options.json)


def _measure_simulated(spec: FleetSpec, planner: PlannerKind, options: argparse.Namespace) -> Row:
    started_s = time.monotonic()

    def on_progress(now_s: float, result: SimulationResult) -> None:
        if not options.quiet and now_s % SIMULATED_PROGRESS_INTERVAL_S == 0:
            progress = f"{planner:6} {now_s:4.0f} s  ratio {result.imbalance_ratios[-1]:.2f}"
            progress += (
                f"  moved {result.counts[ClientEvent.MIGRATED]}  after {time.monotonic() - started_s:.0f} s"
            )
            print(progress, file=sys.stderr, flush=True)

    variant = RelayVariant(planner, RebalanceOptions(mode=RebalanceMode.ON))
    result = simulate(spec, variant, options.seconds, processes=options.processes, on_second=on_progress)
    return simulated_row(spec, result, time.monotonic() - started_s)


# ---------------------------------------------------------------- cost


def measure_cost(options: argparse.Namespace) -> None:
    """Measure the planner's CPU time and memory."""
    cost = PlannerCost(options.connections)
    cost.run()
    print_table("cost of the driver in one relay", {"on": cost.row()}, options.json)


def main() -> None:
    """Parse the command line, and run a command."""
    common = argparse.ArgumentParser(add_help=False)
    common.add_argument("--json", action="store_true", help="one line of JSON a table")
    common.add_argument("--quiet", action="store_true", help="no progress")
    common.add_argument("--seed", type=int, default=1)
    common.add_argument("--movers", dest="planners", nargs="+", choices=PLANNER_NAMES, default=PLANNER_NAMES)
    parser = argparse.ArgumentParser(prog="sageturn.lab.rebalancing", description=__doc__)
    commands = parser.add_subparsers(required=True)
    loopback = commands.add_parser("loopback", parents=[common])
    loopback.add_argument("--seconds", type=float, default=320.0)
    loopback.add_argument("--connections", type=int, default=2000)
    loopback.set_defaults(run=measure_loopback)
    simulated = commands.add_parser("simulated", parents=[common])
    simulated.add_argument("--seconds", type=float, default=360.0)
    simulated.add_argument("--sizes", nargs="+", choices=list(FLEET_SIZES), default=list(FLEET_SIZES))
    simulated.add_argument("--processes", type=int, default=8)
    simulated.set_defaults(run=measure_simulated)
    cost = commands.add_parser("cost", parents=[common])
    cost.add_argument("--connections", type=int, default=10_000)
    cost.set_defaults(run=measure_cost)
    options = parser.parse_args()
    options.run(options)


if __name__ == "__main__":
    main()
