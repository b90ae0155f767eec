"""``sageturn lab``: experiments, comparisons and searches in simulated time."""

from __future__ import annotations

import json
import os
from pathlib import Path
from typing import Annotated, Any

import msgspec
import typer
from rich.console import Console
from rich.progress import Progress
from rich.table import Table

from sageturn.cli.exit_codes import ExitCode, fail
from sageturn.cli.options import AsJson
from sageturn.lab.compare import compare as compare_variants
from sageturn.lab.experiment import BadExperiment, Experiment, Scenario, Variant, read_experiment
from sageturn.lab.policy import read_policy
from sageturn.lab.runs import Line, Results, play
from sageturn.lab.runs import run as run_experiment
from sageturn.lab.search import breaks_at, describe, write_day
from sageturn.lab.search import hunt as hunt_days
from sageturn.lab.search import sweep as sweep_values

app = typer.Typer(no_args_is_help=True, help="Experiments, comparisons and searches in simulated time.")

File = Annotated[Path, typer.Argument(help="An experiment, in TOML or JSON.")]
Of = Annotated[Path, typer.Argument(help="Results, as `run` wrote them.")]
Processes = Annotated[int, typer.Option(help="Runs at once.")]
Metric = Annotated[str, typer.Option(help="Of each run's metrics.")]
CORES = max(1, (os.cpu_count() or 2) - 1)


def _experiment(file: Path) -> Experiment:
    try:
        return read_experiment(file)
    except BadExperiment as error:
        fail(ExitCode.USAGE, str(error))


def _results(file: Path) -> Results:
    results = Results(file)
    if not results.runs:
        fail(ExitCode.NOT_FOUND, f"{file}: no results")
    return results


def _variant(experiment: Experiment, name: str) -> Variant:
    for variant in experiment.variants:
        if not name or variant.name == name:
            return variant
    fail(ExitCode.NOT_FOUND, f"{name}: the experiment has no such variant")


def _scenario(experiment: Experiment, name: str) -> Scenario:
    for scenario in experiment.scenarios:
        if not name or scenario.name == name:
            return scenario
    fail(ExitCode.NOT_FOUND, f"{name}: the experiment has no such scenario")


def _show(rows: list[list[str]], title: str = "") -> None:
    table = Table(*rows[0], title=title or None, box=None)
    for row in rows[1:]:
        table.add_row(*row)
    Console(width=None if os.isatty(1) else 170).print(table)


@app.command()
def run(
    file: File,
    out: Annotated[Path, typer.Option(help="Where results go; what is there already is not played again.")],
    processes: Processes = CORES,
) -> None:
    """Play an experiment: every scenario, seed and variant."""
    experiment = _experiment(file)
    with Progress(console=Console(stderr=True)) as progress:
        task = progress.add_task(experiment.name, total=None)

        def tell(line: Line, number: int, total: int) -> None:
            told = f"{line['scenario']} {line['variant']} goal {line['metrics']['goal']:.3f}"
            progress.update(task, completed=number, total=total, description=told)

        try:
            results = run_experiment(experiment, out, Path.cwd(), processes, tell)
        except ValueError as error:
            fail(ExitCode.USAGE, str(error))
    print(f"{len(results.runs)} runs in {out}")


@app.command()
def compare(results: Of, first: str, second: str, metric: Metric = "goal", as_json: AsJson = False) -> None:
    """The difference that `second` makes against `first`, on the same days, with its interval."""
    found = _results(results)
    try:
        gaps = compare_variants(found, first, second, metric)
    except (ValueError, KeyError) as error:
        fail(ExitCode.NOT_FOUND, str(error))
    if as_json:
        fields = [f for f in type(gaps[0]).__slots__]
        print(json.dumps([{f: getattr(g, f) for f in fields} for g in gaps]))
        return
    rows = [["scenario", "pairs", first, second, "difference", "95% interval", ""]]
    for g in gaps:
        settled = "settled" if g.settled else f"{g.more_pairs:g} pairs would settle it"
        span = f"{g.low:+.4f} to {g.high:+.4f}"
        values = [f"{g.first:.4f}", f"{g.second:.4f}", f"{g.mean:+.4f}"]
        rows.append([g.scenario or "all", str(g.pairs), *values, span, settled])
    _show(rows, metric)


@app.command()
def sweep(
    file: File,
    knob: Annotated[str, typer.Option(help="connections, room, strength, rebalance.KEY, ...")],
    values: Annotated[str, typer.Option(help="Numbers with commas between.")],
    scenario: str = "",
    variant: str = "",
    metric: Metric = "service",
    bound: float = 0.9,
    processes: Processes = CORES,
    as_json: AsJson = False,
) -> None:
    """Where a metric breaks as one knob is turned."""
    experiment = _experiment(file)
    day, tried = _scenario(experiment, scenario), _variant(experiment, variant)
    try:
        numbers = [float(text) for text in values.split(",")]
        policy = read_policy(tried.policy, Path.cwd())
        points = sweep_values(day, tried, policy, experiment.seeds, knob, numbers, metric, processes)
    except ValueError as error:
        fail(ExitCode.USAGE, str(error))

    def at(value: float) -> float:
        again = sweep_values(day, tried, policy, experiment.seeds, knob, [value], metric, 1)
        return again[0].metric

    where = breaks_at(points, bound, at)
    if as_json:
        print(json.dumps({"points": [[p.value, p.metric] for p in points], "breaks_at": where}))
        return
    _show([[knob, metric], *([f"{p.value:g}", f"{p.metric:.4f}"] for p in points)], day.name)
    if where is None:
        print(f"{metric} does not cross {bound:g}")
    else:
        print(f"{metric} crosses {bound:g} at {knob} {where:.4g}")


@app.command()
def hunt(
    file: File,
    out: Annotated[Path, typer.Option(help="Where the worst day goes, made as small as it goes.")],
    days: int = 40,
    seed: int = 1,
    variant: str = "",
    metric: Metric = "goal",
    processes: Processes = CORES,
) -> None:
    """Draw days, find those that hurt most, and shrink the worst to a file of its own."""
    experiment = _experiment(file)
    tried, day = _variant(experiment, variant), experiment.scenarios[0]
    policy = read_policy(tried.policy, Path.cwd())
    found = hunt_days(day.size, day.seconds, tried, policy, days, seed, metric, processes, print)
    loss, worst = found[0]
    why = f"found by hunting {days} days of seed {seed}: loses {loss:.3f} of {metric} against a calm day"
    write_day(out, worst, tried, seed, why)
    _show([["loss", "day"], *([f"{lost:.3f}", describe(d)] for lost, d in found[:8])])
    print(f"{out}: {describe(worst)}")


@app.command()
def report(
    results: Of,
    html: Annotated[Path | None, typer.Option(help="Where a page goes.")] = None,
    markdown: Annotated[Path | None, typer.Option(help="Where Markdown goes; else it is printed.")] = None,
) -> None:
    """A page with plots, or Markdown."""
    from sageturn.lab import report as made  # matplotlib takes a second to load

    found = _results(results)
    if html is not None:
        html.write_text(made.page(found), encoding="utf-8")
    if markdown is not None:
        markdown.write_text(made.markdown(found), encoding="utf-8")
    elif html is None:
        print(made.markdown(found))


@app.command()
def repeat(results: Of, number: Annotated[int, typer.Argument(help="Of the run, from 1.")]) -> None:
    """Play one run again from its results alone, and say whether it came out the same."""
    found = _results(results)
    if not 1 <= number <= len(found.runs):
        fail(ExitCode.NOT_FOUND, f"{number}: there are {len(found.runs)} runs")
    kept = found.runs[number - 1]
    experiment: Experiment = msgspec.convert(found.head["experiment"], Experiment)
    variant = _variant(experiment, kept["variant"])
    again = play(
        _scenario(experiment, kept["scenario"]), kept["seed"], variant, found.head["policies"][variant.name]
    )
    same: dict[str, Any] = {key: again[key] == kept[key] for key in ("metrics", "counts", "series")}
    print(json.dumps(same))
    if not all(same.values()):
        raise typer.Exit(1)


@app.command()
def costs(
    out: Annotated[Path, typer.Option(help="Where lines are added.")],
    only: Annotated[str, typer.Option(help="Parts, with commas between; else all.")] = "",
) -> None:
    """What single parts of a relay's control cost by their size, with fits: a minute on one core."""
    from sageturn.lab.runs import revision
    from sageturn.lab.scale.costs import PARTS, run_costs

    chosen = [name for name in only.split(",") if name]
    for name in chosen:
        if name not in (*PARTS, "list_calls"):
            fail(ExitCode.USAGE, f"only: {name} must be one of {', '.join(PARTS)}, list_calls")
    marked = {"revision": revision(Path.cwd()), "load": round(os.getloadavg()[0], 2)}
    with out.open("a", encoding="utf-8") as lines:
        for line in run_costs(chosen):
            lines.write(json.dumps({**line, **marked}) + "\n")
            lines.flush()
            print(json.dumps(line))


@app.command()
def scale(
    file: Annotated[Path, typer.Argument(help="An experiment of scale, in TOML.")],
    out: Annotated[Path, typer.Option(help="Where results go; what is there already is not played again.")],
    plot: Annotated[Path | None, typer.Option(help="Where a plot goes, as PNG.")] = None,
    only: Annotated[str, typer.Option(help="Just this size.")] = "",
) -> None:
    """Members beside real relays on loopback: what control costs by members and keys, and in faults."""
    from sageturn.lab.scale import report as made  # matplotlib takes a second to load
    from sageturn.lab.scale.plan import read_scale
    from sageturn.lab.scale.results import run as run_scale

    try:
        experiment = read_scale(file)
        results = run_scale(experiment, out, Path.cwd(), lambda text: print(text, flush=True), only)
    except (BadExperiment, ValueError) as error:
        fail(ExitCode.USAGE, str(error))
    except KeyboardInterrupt:
        fail(ExitCode.REFUSED, f"interrupted; {out} has what was played whole")
    _show(made.table(results), experiment.name)
    for line in made.fit_lines(results):
        print(line)
    if plot is not None:
        made.plot(results, plot)
    if any("failed" in line for line in results.runs):
        raise typer.Exit(int(ExitCode.REFUSED))
