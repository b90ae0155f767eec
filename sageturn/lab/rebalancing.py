"""Measures rebalancing beside *off* and beside a naive mover.

python -m sageturn.lab.rebalancing loopback     # 4 relays, 12 hosts, 2,000 connections, 6 minutes
python -m sageturn.lab.rebalancing simulated    # up to 1,000 hosts, 200 relays, a million connections
python -m sageturn.lab.rebalancing cost         # the driver's CPU and memory at 10,000 connections
"""

from __future__ import annotations

import argparse
import json
import sys
import time
import tracemalloc
from concurrent.futures import ProcessPoolExecutor
from typing import Any

import uvloop
from rich.console import Console
from rich.table import Table

from sageturn import decision
from sageturn.core.endpoint_snapshot import EndpointSnapshot
from sageturn.lab.loopback import Run, deployed
from sageturn.lab.simrelay import MOVERS
from sageturn.lab.simulate import simulate
from sageturn.lab.spec import Spec
from sageturn.lab.world import Series
from sageturn.rebalance.options import RebalanceOptions
from sageturn.rebalance.planner import RebalancePlanner

BOUND = 1.15  # the fullest host's fill over the mean: balance
LAST_S = 60  # the end of a run over which the ratio is averaged

Row = dict[str, Any]


def percentiles(histogram: Any) -> str:
    low, high = histogram.get_value_at_percentile(50.0), histogram.get_value_at_percentile(99.0)
    return f"{low:.0f}/{high:.0f}"


def _common(spec: Spec, ratios: list[float], set_ups: list[Any], counts: Any) -> Row:
    after = [r for s, r in enumerate(ratios) if s >= spec.join_s]
    first = next((s for s, r in enumerate(after) if r <= BOUND), None)
    row: Row = {
        "ratio at its worst": round(max(after), 2),
        "s to 1.15": first,
        f"ratio, mean of the last {LAST_S} s": round(sum(ratios[-LAST_S:]) / len(ratios[-LAST_S:]), 2),
        "moved": counts["moved"],
        "moves a connection": round(counts["moved"] / spec.connections, 3),
        "guest-checkin moved": counts["checkin_moved"],
    }
    for cls, seen in zip(spec.classes, set_ups, strict=True):
        late = counts[f"late_{cls.name}"] / max(1, seen.get_total_count())
        row[f"{cls.name} p50/p99 ms (aim {cls.latency_objective_ms:.0f})"] = (
            f"{percentiles(seen)}, {late:.2%} late"
        )
    return row


def loopback_row(run: Run) -> Row:
    counts = run.seen.counts
    spec = run.spec
    ratios = [s.ratio for s in run.samples]
    seconds = run.samples[-1].second
    worth = sum(c.share * c.worth for c in spec.classes) * spec.connections * seconds
    row = _common(spec, ratios, run.seen.set_ups, counts)
    row.update(
        {
            "moves that left some of a group behind": counts["left_behind"],
            "clients moved more than once": counts["moved_again"],
            "refused": counts["busy"],
            "cut off": counts["cut"],
            "unanswered": counts["unanswered"],
            "worth lost waiting": f"{run.seen.waited_worth / worth:.4%}",
            "fresh host's peak intake, of its bound": f"{run.fresh_peak:.0%}",
            "hosts fallen": run.fallen,
            "CPU of a relay": f"{sum(run.cpu_s) / len(run.cpu_s) / seconds:.1%}",
        }
    )
    return row


def simulated_row(spec: Spec, series: Series, took_s: float) -> Row:
    counts = series.counts
    row = _common(spec, series.ratio, series.set_ups, counts)
    row.update(
        {
            "groups moved": counts["groups_moved"],
            "groups split by a move": counts["groups_split"],
            "clients moved more than once": counts["moved_twice"],
            "moved by the module": counts["relieved"],
            "refused": counts["refused"],
            "cut off": counts["cut"],
            "worth lost waiting": f"{series.waited_worth / series.worth:.4%}",
            "fresh host's peak intake, of its bound": f"{series.fresh_peak:.0%}",
            "hosts fallen": series.fallen,
            "took s": round(took_s),
        }
    )
    return row


def show(title: str, rows: dict[str, Row], as_json: bool) -> None:
    if as_json:
        print(json.dumps({"title": title, "rows": rows}))
        return
    table = Table(title=title)
    table.add_column("")
    for name in rows:
        table.add_column(name)
    for key in next(iter(rows.values())):
        table.add_row(key, *(str(row.get(key, "")) for row in rows.values()))
    Console(width=150).print(table)


# ---------------------------------------------------------------- loopback


async def _play(spec: Spec, mover: str, seconds: float, options: dict[str, Any], tell: bool) -> Run:
    async with deployed(spec, mover, options) as deployment:

        def look(sample: Any, _: Any) -> None:
            if tell and round(sample.second) % 15 == 0:
                told = f"{mover:6} {sample.second:4.0f} s  ratio {sample.ratio:.2f}  moved {sample.moved}"
                print(f"{told}  standing {sample.standing}", file=sys.stderr, flush=True)

        return await deployment.play(seconds, look)


def _loopback_one(args: tuple[Spec, str, float, dict[str, Any], bool]) -> Row:
    return loopback_row(uvloop.run(_play(*args)))


def loopback(options: argparse.Namespace) -> None:
    spec = Spec(connections=options.connections, seed=options.seed)
    jobs: list[tuple[Spec, str, float, dict[str, Any], bool]]
    jobs = [(spec, mover, options.seconds, {}, not options.quiet) for mover in options.movers]
    # Each in a process of its own, all at once: they share the machine alike.
    with ProcessPoolExecutor(len(jobs)) as pool:
        rows = dict(zip(options.movers, pool.map(_loopback_one, jobs), strict=True))
    title = f"loopback: {spec.relays} relays, {spec.hosts} hosts, {spec.connections} connections"
    show(title, rows, options.json)


# ---------------------------------------------------------------- simulated


SIZES = {
    # name: hosts, relays, connections; the growth from 100 hosts on
    "small": (12, 4, 2000),
    "100": (100, 20, 100_000),
    "300": (300, 60, 300_000),
    "1000": (1000, 200, 1_000_000),
}


def sized(name: str, seed: int) -> Spec:
    hosts, relays, connections = SIZES[name]
    if name == "small":
        return Spec(seed=seed)
    # As many as this stand for longer: their churn alone would take the machine's cores.
    return Spec(
        relays=relays,
        hosts=hosts,
        early=hosts * 3 // 4,
        connections=connections,
        life_s=1800.0,
        zones=("hanoi", "hue", "danang", "saigon"),
        seed=seed,
    )


def simulated(options: argparse.Namespace) -> None:
    for size in options.sizes:
        spec = sized(size, options.seed)
        rows = {}
        for mover in options.movers:
            began = time.monotonic()

            def progress(now_s: float, series: Series, mover: str = mover, began: float = began) -> None:
                if not options.quiet and now_s % 20 == 0:
                    told = f"{mover:6} {now_s:4.0f} s  ratio {series.ratio[-1]:.2f}"
                    told += f"  moved {series.counts['moved']}  after {time.monotonic() - began:.0f} s"
                    print(told, file=sys.stderr, flush=True)

            planned = RebalanceOptions(mode="on")
            series = simulate(spec, mover, planned, options.seconds, options.processes, progress)
            rows[mover] = simulated_row(spec, series, time.monotonic() - began)
        title = f"simulated: {spec.hosts} hosts, {spec.relays} relays, {spec.connections} connections"
        show(title, rows, options.json)


# ---------------------------------------------------------------- cost


def cost(options: argparse.Namespace) -> None:
    """A planner with 10,000 connections on 40 hosts, in plan all the while; events as busy as in service."""
    count, hosts, seconds = options.connections, 40, 30
    spec = Spec(hosts=hosts, connections=count)
    settings = decision.Settings(
        classes=tuple(decision.RequestClass(c.name, c.latency_objective_ms) for c in spec.classes),
        groups=True,
        relay_count=4,
    )
    views = [EndpointSnapshot(f"h{k}", 1.0, True, 16) for k in range(hosts)]
    keys = [(f"key{n}", f"g{n // 12}", f"h{(n // 12) ** 2 % 977 % hosts}") for n in range(count)]
    classes = [c.name for c in spec.classes]
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    planner = RebalancePlanner(settings, RebalanceOptions(mode="on"), 1)
    for n, (key, group, host) in enumerate(keys):
        planner.adopt(0.0, n, host, (classes[n // 12 % 3], "t", group), key, 0.0)
        planner.book.load(n, 1.0 + n % 3)
    held = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    planner.pace.stopped_until_ms = 0.0
    now_ms, number, ticks, events = 1000.0, count, 0.0, 0.0
    per_s = round(spec.arrivals_per_s)
    worst = 0.0
    for _ in range(seconds):
        began = time.process_time()
        for _ in range(per_s):  # as many come as go, and each tells its load twice
            key, group, host = keys[number % count]
            planner.after_event(now_ms, decision.AttemptEnded(number - count, 0, host, "ok", True), ())
            planner.after_event(
                now_ms,
                decision.RequestArrived(number, classes[0], "t", now_ms + 900.0, group, client=key),
                (),
            )
            planner.after_event(now_ms, decision.ConnectionEstablished(number, 0, host, 20.0), ())
            for _ in range(2):
                planner.after_event(now_ms, decision.MeasurementReported(number, 0, host, "load", 2.0), ())
            number += 1
        told = time.process_time()
        planner.tick(now_ms, views, 720)
        took = time.process_time() - told
        ticks, events, worst = ticks + took, events + told - began, max(worst, took)
        now_ms += 1000.0
    row = {
        "connections": count,
        "hosts": hosts,
        "events a second": per_s * 5,
        "octets a connection": round(held / count),
        "CPU a second": f"{(ticks + events) / seconds:.3%}",
        "of it the tick": f"{ticks / seconds:.3%}",
        "longest tick": f"{worst * 1000.0:.1f} ms",
        "moves planned": planner.counts["moved"],
    }
    show("cost of the driver in one relay", {"on": row}, options.json)


def main() -> None:
    common = argparse.ArgumentParser(add_help=False)
    common.add_argument("--json", action="store_true", help="one line of JSON a table")
    common.add_argument("--quiet", action="store_true", help="no progress")
    common.add_argument("--seed", type=int, default=1)
    common.add_argument("--movers", nargs="+", choices=MOVERS, default=list(MOVERS))
    parser = argparse.ArgumentParser(prog="sageturn.lab.rebalancing", description=__doc__)
    commands = parser.add_subparsers(required=True)
    one = commands.add_parser("loopback", parents=[common])
    one.add_argument("--seconds", type=float, default=320.0)
    one.add_argument("--connections", type=int, default=2000)
    one.set_defaults(run=loopback)
    two = commands.add_parser("simulated", parents=[common])
    two.add_argument("--seconds", type=float, default=360.0)
    two.add_argument("--sizes", nargs="+", choices=list(SIZES), default=list(SIZES))
    two.add_argument("--processes", type=int, default=8)
    two.set_defaults(run=simulated)
    three = commands.add_parser("cost", parents=[common])
    three.add_argument("--connections", type=int, default=10_000)
    three.set_defaults(run=cost)
    options = parser.parse_args()
    options.run(options)


if __name__ == "__main__":
    main()
