"""Demonstration of one relay between fakes on loopback, with live figures in the terminal.

It needs no configuration. Two endpoints start while the others are full, and the relay gradually migrates
whole groups to them.
"""

from __future__ import annotations

import argparse
import asyncio
from contextlib import suppress

import uvloop
from rich.console import Console, Group
from rich.live import Live
from rich.table import Table
from rich.text import Text

from sageturn.lab.loopback.loopback_runner import Deployment, FleetSample, LoopbackResult, deployed
from sageturn.lab.model.client_event import ClientEvent
from sageturn.lab.model.fleet_spec import FleetSpec
from sageturn.lab.model.planner_kind import PlannerKind
from sageturn.lab.reports.result_table import loopback_row

SPEC = FleetSpec(
    relays=1,
    endpoints=6,
    initial_endpoints=4,
    connections=400,
    mean_lifetime_s=300.0,
    join_s=8.0,
    capacity_ratio=2.5,
)
# Faster settings than an operator would choose, so that migrations happen within two minutes.
REBALANCE = {"part_per_min": 0.4, "tick_s": 0.5, "least_age_s": 1.0}
BAR_WIDTH = 40  # number of characters at twice the mean utilization
# Ratios of an endpoint's utilization to the mean: its bar is red over the high one, yellow under the low one.
HIGH_RATIO = 1.15
LOW_RATIO = 0.7
REFRESHES_PER_S = 4


def render(sample: FleetSample, deployment: Deployment) -> Group:
    """Return the figures of the fleet, and a bar for each endpoint, as rich text."""
    counts = deployment.observations.counts
    summary = (
        f"{sample.elapsed_s:4.0f} s   fullest over mean [bold]{sample.imbalance_ratio:.2f}[/]   "
        f"standing {sample.established}   moved {sample.migrations}   "
        f"guest-checkin moved {counts[ClientEvent.CHECK_IN_MIGRATED]}   refused {counts[ClientEvent.BUSY]}   "
        f"cut off {counts[ClientEvent.CUT]}"
    )
    return Group(Text.from_markup(summary), _endpoint_table(sample, deployment))


def _endpoint_table(sample: FleetSample, deployment: Deployment) -> Table:
    mean = sum(sample.utilizations.values()) / max(1, len(sample.utilizations))
    table = Table("host", "fill", "", "connections", "groups", box=None)
    for model in deployment.models:
        utilization = sample.utilizations.get(model.name)
        if utilization is None:
            table.add_row(model.name, "", "not started", "", "")
            continue
        bar = _utilization_bar(utilization, mean)
        table.add_row(
            model.name, f"{utilization:.0%}", bar, str(model.connection_count), str(model.group_count)
        )
    return table


def _utilization_bar(utilization: float, mean: float) -> Text:
    style = "green"
    if utilization > HIGH_RATIO * mean:
        style = "red"
    elif utilization < LOW_RATIO * mean:
        style = "yellow"
    width = round(utilization / max(mean, 1e-9) * BAR_WIDTH / 2)
    return Text("█" * min(BAR_WIDTH, width), style=style)


async def run_demo(seconds: float, console: Console) -> LoopbackResult:
    """Run the fleet with a live display, or with one printed line a second if there is no terminal."""
    async with deployed(SPEC, PlannerKind.ON, REBALANCE) as deployment:
        if not console.is_terminal:
            return await deployment.run(seconds, lambda sample, _: console.print(_progress_line(sample)))
        with Live(console=console, refresh_per_second=REFRESHES_PER_S) as live:
            return await deployment.run(
                seconds, lambda sample, deployment: live.update(render(sample, deployment))
            )


def _progress_line(sample: FleetSample) -> str:
    return f"{sample.elapsed_s:.0f} s ratio {sample.imbalance_ratio:.2f} moved {sample.migrations}"


def main() -> None:
    """Run the command."""
    parser = argparse.ArgumentParser(prog="sageturn.lab.demo", description=__doc__)
    parser.add_argument("--seconds", type=float, default=120.0)
    options = parser.parse_args()
    console = Console()
    console.print("A relay, 4 full hosts, and 2 that start after 8 s. Ctrl-C ends it.")
    with suppress(KeyboardInterrupt, asyncio.CancelledError):
        result = uvloop.run(run_demo(options.seconds, console))
        table = Table("what the clients saw", "")
        for label, value in loopback_row(result).items():
            table.add_row(label, str(value))
        console.print(table)


if __name__ == "__main__":
    main()
