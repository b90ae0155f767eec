"""``sageturn lab``: experiments, comparisons and searches in simulated time.

The docstrings of the commands and the ``help`` texts are what users read in the command's help.
A command has a parameter for each of its options, however many these are.
"""

from __future__ import annotations

import json
import os
from pathlib import Path
from typing import Annotated

import msgspec
import typer
from rich.console import Console
from rich.progress import Progress
from rich.table import Table

from sageturn.cli.exit_codes import ExitCode, fail
from sageturn.cli.options import AsJson
from sageturn.lab.errors import InvalidExperimentError
from sageturn.lab.model.policy import read_policy
from sageturn.lab.reports.compare import Difference
from sageturn.lab.reports.compare import compare as compare_variants
from sageturn.lab.runner.experiment import Experiment, Scenario, Variant, read_experiment
from sageturn.lab.runner.experiment_runner import run_experiment, run_scenario
from sageturn.lab.runner.result_file import Line, Results
from sageturn.lab.runner.scenario_shrinking import describe
from sageturn.lab.runner.search import Evaluation, find_crossing, write_scenario
from sageturn.lab.runner.search import hunt as hunt_scenarios
from sageturn.lab.runner.search import sweep as sweep_values

app = typer.Typer(no_args_is_help=True, help="Experiments, comparisons and searches in simulated time.")

ExperimentFile = Annotated[Path, typer.Argument(help="An experiment, in TOML or JSON.")]
ResultsFile = Annotated[Path, typer.Argument(help="Results, as `run` wrote them.")]
ProcessCount = Annotated[int, typer.Option(help="Runs at once.")]
MetricName = Annotated[str, typer.Option(help="Of each run's metrics.")]
DEFAULT_PROCESSES = max(1, (os.cpu_count() or 2) - 1)  # one core stays free
REPORTED_SCENARIOS = 8  # of a hunt
UNATTENDED_WIDTH = 170  # columns of a table that goes to a file or a pipe


def _read_experiment(file: Path) -> Experiment:
    try:
        return read_experiment(file)
    except InvalidExperimentError as error:
        fail(ExitCode.USAGE, str(error))


def _read_results(file: Path) -> Results:
    results = Results(file)
    if not results.runs:
        fail(ExitCode.NOT_FOUND, f"{file}: no results")
    return results


def _find_variant(experiment: Experiment, name: str) -> Variant:
    """Returns the variant of this name; the first for an empty name."""
    for variant in experiment.variants:
        if not name or variant.name == name:
            return variant
    fail(ExitCode.NOT_FOUND, f"{name}: the experiment has no such variant")


def _find_scenario(experiment: Experiment, name: str) -> Scenario:
    """Returns the scenario of this name; the first for an empty name."""
    for scenario in experiment.scenarios:
        if not name or scenario.name == name:
            return scenario
    fail(ExitCode.NOT_FOUND, f"{name}: the experiment has no such scenario")


def _print_table(rows: list[list[str]], title: str = "") -> None:
    """Prints rows of cells; the first has the columns' names."""
    table = Table(*rows[0], title=title or None, box=None)
    for row in rows[1:]:
        table.add_row(*row)
    Console(width=None if os.isatty(1) else UNATTENDED_WIDTH).print(table)


@app.command()
def run(
    file: ExperimentFile,
    out: Annotated[Path, typer.Option(help="Where results go; what is there already is not played again.")],
    processes: ProcessCount = DEFAULT_PROCESSES,
) -> None:
    """Play an experiment: every scenario, seed and variant."""
    experiment = _read_experiment(file)
    with Progress(console=Console(stderr=True)) as progress:
        task = progress.add_task(experiment.name, total=None)

        def on_run_finished(line: Line, number: int, total: int) -> None:
            description = f"{line['scenario']} {line['variant']} goal {line['metrics']['goal']:.3f}"
            progress.update(task, completed=number, total=total, description=description)

        try:
            results = run_experiment(experiment, out, Path.cwd(), processes, on_run_finished)
        except ValueError as error:
            fail(ExitCode.USAGE, str(error))
    print(f"{len(results.runs)} runs in {out}")


@app.command()
def compare(
    results: ResultsFile, first: str, second: str, metric: MetricName = "goal", as_json: AsJson = False
) -> None:
    """The difference that `second` makes against `first`, on the same days, with its interval."""
    try:
        differences = compare_variants(_read_results(results), first, second, metric)
    except (ValueError, KeyError) as error:
        fail(ExitCode.NOT_FOUND, str(error))
    if as_json:
        print(json.dumps([_encode_difference(difference) for difference in differences]))
        return
    rows = [["scenario", "pairs", first, second, "difference", "95% interval", ""]]
    rows += [_difference_row(difference) for difference in differences]
    _print_table(rows, metric)


def _encode_difference(difference: Difference) -> dict[str, object]:
    return {
        "metric": difference.metric,
        "scenario": difference.scenario,
        "pairs": difference.pairs,
        "first": difference.first,
        "second": difference.second,
        "mean": difference.mean,
        "low": difference.low,
        "high": difference.high,
        "more_pairs": difference.needed_pairs,
    }


def _difference_row(difference: Difference) -> list[str]:
    settled = "settled" if difference.is_significant else f"{difference.needed_pairs:g} pairs would settle it"
    return [
        difference.scenario or "all",
        str(difference.pairs),
        f"{difference.first:.4f}",
        f"{difference.second:.4f}",
        f"{difference.mean:+.4f}",
        f"{difference.low:+.4f} to {difference.high:+.4f}",
        settled,
    ]


@app.command()
def sweep(
    file: ExperimentFile,
    knob: Annotated[str, typer.Option(help="connections, room, strength, rebalance.KEY, ...")],
    values: Annotated[str, typer.Option(help="Numbers with commas between.")],
    scenario: str = "",
    variant: str = "",
    metric: MetricName = "service",
    bound: float = 0.9,
    processes: ProcessCount = DEFAULT_PROCESSES,
    as_json: AsJson = False,
) -> None:
    """Where a metric breaks as one knob is turned."""
    experiment = _read_experiment(file)
    played = _find_scenario(experiment, scenario)
    tried = _find_variant(experiment, variant)
    try:
        numbers = [float(text) for text in values.split(",")]
        evaluation = Evaluation(tried, read_policy(tried.policy, Path.cwd()), experiment.seeds, metric)
        points = sweep_values(played, evaluation, knob, numbers, processes)
    except ValueError as error:
        fail(ExitCode.USAGE, str(error))

    def measure(value: float) -> float:
        return sweep_values(played, evaluation, knob, [value], 1)[0].metric

    crossing = find_crossing(points, bound, measure)
    if as_json:
        print(
            json.dumps({"points": [[point.value, point.metric] for point in points], "breaks_at": crossing})
        )
        return
    rows = [[f"{point.value:g}", f"{point.metric:.4f}"] for point in points]
    _print_table([[knob, metric], *rows], played.name)
    if crossing is None:
        print(f"{metric} does not cross {bound:g}")
    else:
        print(f"{metric} crosses {bound:g} at {knob} {crossing:.4g}")


@app.command()
def hunt(
    file: ExperimentFile,
    out: Annotated[Path, typer.Option(help="Where the worst day goes, made as small as it goes.")],
    days: int = 40,
    seed: int = 1,
    variant: str = "",
    metric: MetricName = "goal",
    processes: ProcessCount = DEFAULT_PROCESSES,
) -> None:
    """Draw days, find those that hurt most, and shrink the worst to a file of its own."""
    experiment = _read_experiment(file)
    tried = _find_variant(experiment, variant)
    scenario = experiment.scenarios[0]
    evaluation = Evaluation(tried, read_policy(tried.policy, Path.cwd()), (seed,), metric)
    calm = Scenario("calm", scenario.size, scenario.seconds)
    found = hunt_scenarios(calm, evaluation, days, seed, processes, print)
    worst = found[0].scenario
    loss = found[0].loss
    why = f"found by hunting {days} days of seed {seed}: loses {loss:.3f} of {metric} against a calm day"
    write_scenario(out, worst, tried, seed, why)
    rows = [[f"{each.loss:.3f}", describe(each.scenario)] for each in found[:REPORTED_SCENARIOS]]
    _print_table([["loss", "day"], *rows])
    print(f"{out}: {describe(worst)}")


@app.command()
def report(
    results: ResultsFile,
    html: Annotated[Path | None, typer.Option(help="Where a page goes.")] = None,
    markdown: Annotated[Path | None, typer.Option(help="Where Markdown goes; else it is printed.")] = None,
) -> None:
    """A page with plots, or Markdown."""
    from sageturn.lab.reports import report as reports  # matplotlib takes a second to load

    found = _read_results(results)
    if html is not None:
        html.write_text(reports.page(found), encoding="utf-8")
    if markdown is not None:
        markdown.write_text(reports.markdown(found), encoding="utf-8")
    elif html is None:
        print(reports.markdown(found))


@app.command()
def repeat(results: ResultsFile, number: Annotated[int, typer.Argument(help="Of the run, from 1.")]) -> None:
    """Play one run again from its results alone, and say whether it came out the same."""
    found = _read_results(results)
    if not 1 <= number <= len(found.runs):
        fail(ExitCode.NOT_FOUND, f"{number}: there are {len(found.runs)} runs")
    recorded = found.runs[number - 1]
    experiment: Experiment = msgspec.convert(found.head["experiment"], Experiment)
    variant = _find_variant(experiment, recorded["variant"])
    replayed = run_scenario(
        _find_scenario(experiment, recorded["scenario"]),
        recorded["seed"],
        variant,
        found.head["policies"][variant.name],
    )
    same: dict[str, bool] = {key: replayed[key] == recorded[key] for key in ("metrics", "counts", "series")}
    print(json.dumps(same))
    if not all(same.values()):
        raise typer.Exit(int(ExitCode.REFUSED))


@app.command()
def costs(
    out: Annotated[Path, typer.Option(help="Where lines are added.")],
    only: Annotated[str, typer.Option(help="Parts, with commas between; else all.")] = "",
) -> None:
    """What single parts of a relay's control cost by their size, with fits: a minute on one core."""
    from sageturn.lab.runner.result_file import revision
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
    from sageturn.lab.scale import report as reports  # matplotlib takes a second to load
    from sageturn.lab.scale.plan import read_scale
    from sageturn.lab.scale.results import run as run_scale

    try:
        experiment = read_scale(file)
        results = run_scale(experiment, out, Path.cwd(), lambda text: print(text, flush=True), only)
    except (InvalidExperimentError, ValueError) as error:
        fail(ExitCode.USAGE, str(error))
    except KeyboardInterrupt:
        fail(ExitCode.REFUSED, f"interrupted; {out} has what was played whole")
    _print_table(reports.table(results), experiment.name)
    for line in reports.fit_lines(results):
        print(line)
    if plot is not None:
        reports.plot(results, plot)
    if any("failed" in line for line in results.runs):
        raise typer.Exit(int(ExitCode.REFUSED))


@app.command()
def soak(
    seed: Annotated[int, typer.Option(help="Of the first run.")] = 1,
    runs: Annotated[int, typer.Option(help="How many runs, of one seed after the other.")] = 1,
    relays: Annotated[int, typer.Option(help="Relay processes.")] = 16,
    hosts: Annotated[int, typer.Option(help="Processes of two endpoints each.")] = 12,
    requests: Annotated[float, typer.Option(help="Requests a second, over all relays.")] = 200.0,
    storm: Annotated[str, typer.Option(help="Its faults, with commas between; else drawn.")] = "",
    variants: Annotated[str, typer.Option(help="pushed_lists, health_checks, or both, with a comma.")] = "",
    keep: Annotated[Path | None, typer.Option(help="Where plans, records and logs are kept.")] = None,
) -> None:
    """Real relays on loopback in overlapping faults, judged by the protocol's rules: 30 s a run."""
    from sageturn.lab.soak.plan import FaultKind, SoakSize, Variant, draw_plan
    from sageturn.lab.soak.report import play_all

    if min(relays, hosts, runs) < 1 or requests <= 0:
        fail(ExitCode.USAGE, "relays, hosts, runs and requests must be 1 or more")
    size = SoakSize(relays, hosts, requests)
    try:
        faults = [FaultKind(name) for name in storm.split(",") if name]
    except ValueError as error:
        fail(ExitCode.USAGE, f"storm: {error}; there are {', '.join(FaultKind)}")
    try:
        chosen = [Variant(name) for name in variants.split(",") if name]
    except ValueError as error:
        fail(ExitCode.USAGE, f"variants: {error}; there are {', '.join(Variant)}")
    plans = (draw_plan(number, size, faults, chosen) for number in range(seed, seed + runs))
    if not play_all(plans, keep, lambda text: print(text, flush=True)):
        raise typer.Exit(int(ExitCode.REFUSED))
