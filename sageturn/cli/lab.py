"""``sageturn lab``: experiments, comparisons and searches in simulated time, and runs of real relays.

The docstrings of the commands and the ``help`` texts are what users read in the command's help.
A command has a parameter for each of its options, so some commands have many.
"""

from __future__ import annotations

import json
import os
from collections.abc import Sequence
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
from sageturn.lab.runner.search import Evaluation, Point, find_costly_scenarios, find_crossing, write_scenario
from sageturn.lab.runner.search import sweep as sweep_values

app = typer.Typer(
    no_args_is_help=True, help="Experiments, comparisons and searches, in simulated time or with real relays."
)

ExperimentFile = Annotated[Path, typer.Argument(help="File of an experiment, in TOML or JSON.")]
ResultsFile = Annotated[Path, typer.Argument(help="File of results, written by `run`.")]
ProcessCount = Annotated[int, typer.Option(help="Number of runs at once.")]
MetricName = Annotated[str, typer.Option(help="Name of one of the runs' metrics.")]
DEFAULT_PROCESSES = max(1, (os.cpu_count() or 2) - 1)  # leaves one core free
MAX_REPORTED_SCENARIOS = 8  # scenarios that the command ``hunt`` lists
NON_TERMINAL_WIDTH = 170  # characters per line of a table that is written to a file or a pipe


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
    """Return the variant of this name, or the first if the name is empty."""
    for variant in experiment.variants:
        if not name or variant.name == name:
            return variant
    fail(ExitCode.NOT_FOUND, f"{name}: the experiment has no such variant")


def _find_scenario(experiment: Experiment, name: str) -> Scenario:
    """Return the scenario of this name, or the first if the name is empty."""
    for scenario in experiment.scenarios:
        if not name or scenario.name == name:
            return scenario
    fail(ExitCode.NOT_FOUND, f"{name}: the experiment has no such scenario")


def _print_table(rows: list[list[str]], title: str = "") -> None:
    """Print rows of cells, of which the first has the columns' names."""
    table = Table(*rows[0], title=title or None, box=None)
    for row in rows[1:]:
        table.add_row(*row)
    Console(width=None if os.isatty(1) else NON_TERMINAL_WIDTH).print(table)


@app.command()
def run(
    file: ExperimentFile,
    out: Annotated[Path, typer.Option(help="File of results; runs that it already has are skipped.")],
    processes: ProcessCount = DEFAULT_PROCESSES,
) -> None:
    """Run an experiment: each variant in each scenario, with each seed."""
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
    """Compare variant `second` with `first` on the same scenarios and seeds, with a 95% interval."""
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


def _print_sweep(title: str, knob: str, metric: str, points: Sequence[Point]) -> None:
    rows = [[f"{point.value:g}", f"{point.metric:.4f}"] for point in points]
    _print_table([[knob, metric], *rows], title)


@app.command()
def sweep(
    file: ExperimentFile,
    knob: Annotated[
        str, typer.Option(help="Parameter to vary: connections, room, strength, rebalance.KEY, ...")
    ],
    values: Annotated[str, typer.Option(help="Numbers, separated by commas.")],
    scenario: str = "",
    variant: str = "",
    metric: MetricName = "service",
    bound: float = 0.9,
    processes: ProcessCount = DEFAULT_PROCESSES,
    as_json: AsJson = False,
) -> None:
    """Vary one parameter, and find the value at which a metric crosses a bound."""
    experiment = _read_experiment(file)
    swept_scenario = _find_scenario(experiment, scenario)
    swept_variant = _find_variant(experiment, variant)
    try:
        numbers = [float(text) for text in values.split(",")]
        evaluation = Evaluation(
            swept_variant, read_policy(swept_variant.policy, Path.cwd()), experiment.seeds, metric
        )
        points = sweep_values(swept_scenario, evaluation, knob, numbers, processes)
    except ValueError as error:
        fail(ExitCode.USAGE, str(error))

    def measure(value: float) -> float:
        return sweep_values(swept_scenario, evaluation, knob, [value], 1)[0].metric

    crossing = find_crossing(points, bound, measure)
    if as_json:
        print(
            json.dumps({"points": [[point.value, point.metric] for point in points], "breaks_at": crossing})
        )
        return
    _print_sweep(swept_scenario.name, knob, metric, points)
    if crossing is None:
        print(f"{metric} does not cross {bound:g}")
    else:
        print(f"{metric} crosses {bound:g} at {knob} {crossing:.4g}")


@app.command()
def hunt(
    file: ExperimentFile,
    out: Annotated[Path, typer.Option(help="File of the worst scenario, shrunk as far as possible.")],
    days: int = 40,
    seed: int = 1,
    variant: str = "",
    metric: MetricName = "goal",
    processes: ProcessCount = DEFAULT_PROCESSES,
) -> None:
    """Draw random scenarios, list those that lose most, and write the worst, shrunk, to a file."""
    experiment = _read_experiment(file)
    searched_variant = _find_variant(experiment, variant)
    scenario = experiment.scenarios[0]
    evaluation = Evaluation(
        searched_variant, read_policy(searched_variant.policy, Path.cwd()), (seed,), metric
    )
    calm = Scenario("calm", scenario.size, scenario.seconds)
    costly_scenarios = find_costly_scenarios(calm, evaluation, days, seed, processes, print)
    worst = costly_scenarios[0].scenario
    loss = costly_scenarios[0].loss
    why = f"found by hunting {days} days of seed {seed}: loses {loss:.3f} of {metric} against a calm day"
    write_scenario(out, worst, searched_variant, seed, why)
    rows = [
        [f"{costly.loss:.3f}", describe(costly.scenario)]
        for costly in costly_scenarios[:MAX_REPORTED_SCENARIOS]
    ]
    _print_table([["loss", "day"], *rows])
    print(f"{out}: {describe(worst)}")


@app.command()
def report(
    results: ResultsFile,
    html: Annotated[Path | None, typer.Option(help="File of an HTML page.")] = None,
    markdown: Annotated[
        Path | None, typer.Option(help="File of Markdown; printed without either option.")
    ] = None,
) -> None:
    """Report results as an HTML page with plots, or as Markdown."""
    from sageturn.lab.reports import report as reports  # imported here, as matplotlib takes a second to load

    recorded_results = _read_results(results)
    if html is not None:
        html.write_text(reports.page(recorded_results), encoding="utf-8")
    if markdown is not None:
        markdown.write_text(reports.markdown(recorded_results), encoding="utf-8")
    elif html is None:
        print(reports.markdown(recorded_results))


@app.command()
def repeat(
    results: ResultsFile, number: Annotated[int, typer.Argument(help="Number of the run, from 1.")]
) -> None:
    """Repeat one run from its recorded results alone, and print whether the outcome is the same."""
    recorded_results = _read_results(results)
    if not 1 <= number <= len(recorded_results.runs):
        fail(ExitCode.NOT_FOUND, f"{number}: there are {len(recorded_results.runs)} runs")
    recorded = recorded_results.runs[number - 1]
    experiment: Experiment = msgspec.convert(recorded_results.head["experiment"], Experiment)
    variant = _find_variant(experiment, recorded["variant"])
    replayed = run_scenario(
        _find_scenario(experiment, recorded["scenario"]),
        recorded["seed"],
        variant,
        recorded_results.head["policies"][variant.name],
    )
    is_same_by_key: dict[str, bool] = {
        key: replayed[key] == recorded[key] for key in ("metrics", "counts", "series")
    }
    print(json.dumps(is_same_by_key))
    if not all(is_same_by_key.values()):
        raise typer.Exit(int(ExitCode.REFUSED))


@app.command()
def costs(
    out: Annotated[Path, typer.Option(help="File to which result lines are appended.")],
    only: Annotated[str, typer.Option(help="Parts to measure, separated by commas; all if empty.")] = "",
) -> None:
    """Measure what parts of a relay's control cost by their size, with fits: a minute on one core."""
    from sageturn.lab.runner.result_file import revision
    from sageturn.lab.scale.costs import COST_MEASUREMENTS, run_costs

    chosen = [name for name in only.split(",") if name]
    for name in chosen:
        if name not in (*COST_MEASUREMENTS, "list_calls"):
            fail(ExitCode.USAGE, f"only: {name} must be one of {', '.join(COST_MEASUREMENTS)}, list_calls")
    origin = {"revision": revision(Path.cwd()), "load": round(os.getloadavg()[0], 2)}
    with out.open("a", encoding="utf-8") as lines:
        for line in run_costs(chosen):
            lines.write(json.dumps({**line, **origin}) + "\n")
            lines.flush()
            print(json.dumps(line))


@app.command()
def scale(
    file: Annotated[Path, typer.Argument(help="File of a scale experiment, in TOML.")],
    out: Annotated[Path, typer.Option(help="File of results; runs that it already has are skipped.")],
    plot: Annotated[Path | None, typer.Option(help="File of a plot, as PNG.")] = None,
    only: Annotated[str, typer.Option(help="Name of the only size to run; all sizes if empty.")] = "",
) -> None:
    """Run replication members together with real relays on loopback, and measure the cost of control.

    The cost is measured by number of members and of keys, and during faults.
    """
    from sageturn.lab.scale import report as reports  # imported here, as matplotlib takes a second to load
    from sageturn.lab.scale.plan import read_scale
    from sageturn.lab.scale.results import run as run_scale

    try:
        experiment = read_scale(file)
        results = run_scale(experiment, out, Path.cwd(), lambda text: print(text, flush=True), only)
    except (InvalidExperimentError, ValueError) as error:
        fail(ExitCode.USAGE, str(error))
    except KeyboardInterrupt:
        fail(ExitCode.REFUSED, f"interrupted; {out} has the completed runs")
    _print_table(reports.table(results), experiment.name)
    for line in reports.fit_lines(results):
        print(line)
    if plot is not None:
        reports.plot(results, plot)
    if any("failed" in line for line in results.runs):
        raise typer.Exit(int(ExitCode.REFUSED))


@app.command()
def soak(
    seed: Annotated[int, typer.Option(help="Seed of the first run.")] = 1,
    runs: Annotated[int, typer.Option(help="Number of runs, with consecutive seeds.")] = 1,
    relays: Annotated[int, typer.Option(help="Number of relay processes.")] = 16,
    hosts: Annotated[int, typer.Option(help="Number of processes with two endpoints each.")] = 12,
    requests: Annotated[float, typer.Option(help="Requests per second, over all relays.")] = 200.0,
    storm: Annotated[str, typer.Option(help="Faults, separated by commas; drawn at random if empty.")] = "",
    variants: Annotated[
        str, typer.Option(help="pushed_lists, health_checks, or both, separated by a comma.")
    ] = "",
    keep: Annotated[
        Path | None, typer.Option(help="Folder in which plans, records and logs are kept.")
    ] = None,
) -> None:
    """Run real relays on loopback under overlapping faults, and check the protocol's rules: 30 s per run."""
    from sageturn.lab.soak.plan import FaultKind, SoakSize, Variant, draw_plan
    from sageturn.lab.soak.report import play_all

    if min(relays, hosts, runs) < 1 or requests <= 0:
        fail(ExitCode.USAGE, "relays, hosts, runs and requests must be 1 or more")
    size = SoakSize(relays, hosts, requests)
    try:
        faults = [FaultKind(name) for name in storm.split(",") if name]
    except ValueError as error:
        fail(ExitCode.USAGE, f"storm: {error}; must be among {', '.join(FaultKind)}")
    try:
        chosen = [Variant(name) for name in variants.split(",") if name]
    except ValueError as error:
        fail(ExitCode.USAGE, f"variants: {error}; must be among {', '.join(Variant)}")
    plans = (draw_plan(number, size, faults, chosen) for number in range(seed, seed + runs))
    if not play_all(plans, keep, lambda text: print(text, flush=True)):
        raise typer.Exit(int(ExitCode.REFUSED))
