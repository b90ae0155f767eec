"""One relay between stand-ins on loopback, with live figures in the terminal; nothing to configure.

Hosts that are full meet two that have just started: the relay moves whole groups over, slowly.
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

from sageturn.lab.fleet_spec import FleetSpec
from sageturn.lab.loopback_runner import Deployment, LoopbackResult, Sample, deployed
from sageturn.lab.result_table import loopback_row

SPEC = FleetSpec(relays=1, hosts=6, early=4, connections=400, life_s=300.0, join_s=8.0, room=2.5)
# A pace at which something is seen within two minutes; an operator's is slower.
OPTIONS = {"part_per_min": 0.4, "tick_s": 0.5, "least_age_s": 1.0}
BAR = 40


def figures(sample: Sample, deployment: Deployment) -> Group:
    mean = sum(sample.held.values()) / max(1, len(sample.held))
    hosts = Table("host", "fill", "", "connections", "groups", box=None)
    for host in deployment.hosts:
        model = host.model
        if model.name not in sample.held:
            hosts.add_row(model.name, "", "not started", "", "")
            continue
        fill = sample.held[model.name]
        style = "red" if fill > 1.15 * mean else "yellow" if fill < 0.7 * mean else "green"
        bar = Text("█" * min(BAR, round(fill / max(mean, 1e-9) * BAR / 2)), style=style)
        hosts.add_row(model.name, f"{fill:.0%}", bar, str(model.count), str(model.groups))
    seen = deployment.seen.counts
    told = (
        f"{sample.second:4.0f} s   fullest over mean [bold]{sample.ratio:.2f}[/]   "
        f"standing {sample.standing}   moved {sample.moved}   "
        f"guest-checkin moved {seen['checkin_moved']}   refused {seen['busy']}   "
        f"cut off {seen['cut']}"
    )
    return Group(Text.from_markup(told), hosts)


async def play(seconds: float, console: Console) -> LoopbackResult:
    async with deployed(SPEC, "on", OPTIONS) as deployment:
        if not console.is_terminal:
            return await deployment.play(
                seconds, lambda s, _: console.print(f"{s.second:.0f} s ratio {s.ratio:.2f} moved {s.moved}")
            )
        with Live(console=console, refresh_per_second=4) as live:
            return await deployment.play(seconds, lambda s, d: live.update(figures(s, d)))


def main() -> None:
    parser = argparse.ArgumentParser(prog="sageturn.lab.demo", description=__doc__)
    parser.add_argument("--seconds", type=float, default=120.0)
    options = parser.parse_args()
    console = Console()
    console.print("A relay, 4 full hosts, and 2 that start after 8 s. Ctrl-C ends it.")
    with suppress(KeyboardInterrupt, asyncio.CancelledError):
        run = uvloop.run(play(options.seconds, console))
        table = Table("what the clients saw", "")
        for key, value in loopback_row(run).items():
            table.add_row(key, str(value))
        console.print(table)


if __name__ == "__main__":
    main()
