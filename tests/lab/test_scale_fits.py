"""Fits through the sizes of scale runs, predictions from them, and reports."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sageturn.lab.runner.result_file import Results
from sageturn.lab.scale.arrivals import summarize_durations
from sageturn.lab.scale.errors import FitError
from sageturn.lab.scale.fit import fit, fit_exponent
from sageturn.lab.scale.plan import Size
from sageturn.lab.scale.predictions import (
    compare_predictions,
    encode_predictions,
    fit_runs,
    mean_of_members,
    predict,
)
from sageturn.lab.scale.report import fit_lines, plot, table


def test_a_straight_line_is_distinguished_from_a_bent_one() -> None:
    rows = [[1.0, members] for members in (10.0, 20.0, 40.0, 80.0)]
    line = fit(("1", "n"), rows, [5.0 + 3.0 * members for _, members in rows])
    assert line.values == pytest.approx((5.0, 3.0)) and line.is_linear and line.r2 == pytest.approx(1.0)
    estimated, low, high = line.estimate([1.0, 160.0])
    assert estimated == pytest.approx(485.0) and low == pytest.approx(estimated) == high
    bent = fit(("1", "n"), rows, [members * members for _, members in rows])
    assert not bent.is_linear and bent.max_residual > 0.2
    _, low, high = bent.estimate([1.0, 160.0])
    assert high - low > 1000.0, "values that are not linear give a wide interval"


def test_three_sizes_are_too_few_for_a_slope_however_straight() -> None:
    rows = [[1.0, members] for members in (10.0, 20.0, 40.0)]
    assert not fit(("1", "n"), rows, [2.0 * members for _, members in rows]).is_linear
    again = [*rows, rows[0]]
    assert not fit(("1", "n"), again, [2.0 * members for _, members in again]).is_linear, (
        "the same size twice counts as one size"
    )


@pytest.mark.parametrize(
    ("rows", "values"),
    [
        ([[1.0, 2.0]], [3.0]),
        ([[1.0, 2.0], [1.0, 3.0]], [3.0, 0.0]),
        ([[1.0, 2.0], [2.0, 4.0], [3.0, 6.0]], [1.0, 2.0, 3.0]),
        ([[1.0], [1.0]], [1.0, 2.0]),
    ],
)
def test_sizes_that_determine_no_fit_are_rejected(rows: list[list[float]], values: list[float]) -> None:
    with pytest.raises(FitError):
        fit(("1", "n"), rows, values)


@given(
    st.floats(0.1, 100.0),
    st.floats(0.1, 100.0),
    st.lists(st.floats(-0.04, 0.04), min_size=6, max_size=6),
    st.integers(0, 5),
)
def test_the_interval_covers_noise_and_the_fit_does_not_depend_on_magnitude(
    constant: float, slope: float, noise: list[float], scaled: int
) -> None:
    rows = [[1.0, float(members)] for members in (1, 3, 10, 30, 100, 300)]
    values = [
        (constant + slope * members) * (1.0 + error) for (_, members), error in zip(rows, noise, strict=True)
    ]
    line = fit(("1", "n"), rows, values)
    assert line.low[1] <= line.values[1] <= line.high[1]
    scale = 10.0**scaled
    again = fit(("1", "n"), rows, [value * scale for value in values])
    assert again.values[1] == pytest.approx(line.values[1] * scale, rel=1e-6)
    assert again.max_residual == pytest.approx(line.max_residual, rel=1e-6, abs=1e-9)


def test_an_exponent_distinguishes_a_square_from_a_line() -> None:
    sizes = [10.0, 20.0, 40.0, 80.0]
    noisy_squares = [size * size * (1.0 + 0.01 * (-1) ** number) for number, size in enumerate(sizes)]
    square = fit_exponent(sizes, noisy_squares)
    assert square.low < 2.0 < square.high and square.low > 1.9
    with pytest.raises(FitError):
        fit_exponent(sizes[:2], [1.0, 2.0])


def make_run_line(members: int, keys: int, octets: float, **more: object) -> dict[str, object]:
    used = {"octets": octets, "octets_most": octets, "core": octets / 1e6, "core_busiest": octets / 1e6}
    phase = {"saturated": False, "hollow": used}
    last = {"last": summarize_durations([0.1, 0.2]).to_line()}
    return {
        "scenario": f"m{members}",
        "seed": 1,
        "spread": "digest",
        "members": members,
        "keys": keys,
        "state_s": 0.0,
        "real": 0,
        "clients_each": 0,
        "links": members * (members - 1) / 2,
        "phases": {"idle": phase, "changes": {**phase, "changes": last}},
        "equal": {"all": True, "kinds": 1},
        **more,
    }


def test_a_larger_size_is_predicted_from_usable_runs_and_compared_after_its_run() -> None:
    lines = [
        make_run_line(members, keys, (members - 1) * (70.0 + 27.0 * keys))
        for members, keys in ((4, 10), (8, 10), (4, 100), (8, 200))
    ]
    saturated = make_run_line(16, 1000, 1.0)
    saturated["phases"]["idle"]["saturated"] = True  # type: ignore[index]
    lines += [saturated, {"failed": "minutes", "spread": "digest"}]
    size = Size("m32", 32, keys=100)
    predictions = predict(lines, size)
    assert predictions["octets"].value == pytest.approx(31 * (70.0 + 2700.0))
    assert fit_runs(lines, "digest")["octets"].size_count == 4 and fit_runs(lines, "delta") == {}
    predicted = encode_predictions(predictions)
    compared = compare_predictions(make_run_line(32, 100, 31 * 2770.0 * 3.0, predicted=predicted))
    assert compared["predicted"]["octets"]["inside"] is False
    assert compared["predicted"]["octets"]["ratio"] == pytest.approx(3.0)
    unmeasured = encode_predictions(predictions)
    failed = compare_predictions({"failed": "memory_gb", "predicted": unmeasured})
    assert failed["predicted"]["octets"].keys() == {"value", "low", "high", "fit"}
    assert predict(lines[:3], size) == {}, "three sizes determine no slope"


def test_terms_that_the_sizes_do_not_separate_are_fitted_as_one() -> None:
    lines = [make_run_line(members, 100, (members - 1) * 2700.0) for members in (4, 8, 16, 32)]
    assert fit_runs(lines, "digest")["octets"].terms == ("links",)
    lines_with_state = [
        make_run_line(members, 100, (members - 1) * (2700.0 + 190.0 * members / 5.0), state_s=5.0)
        for members in (4, 8, 16, 32)
    ]
    slope = fit_runs(lines_with_state, "digest")["octets"]
    assert slope.terms == ("links", "links*news") and slope.values == pytest.approx((2700.0, 190.0))
    predicted = predict(lines_with_state, Size("m64", 64, keys=100, state_s=5.0))
    assert predicted["octets"].value == pytest.approx(63 * (2700.0 + 190.0 * 64 / 5.0))


def test_real_relays_are_fitted_by_their_clients_and_all_members_by_their_links() -> None:
    lines = []
    for clients in (250, 500, 1000, 2000):
        memory = {"real_mb": [30.0 + 0.04 * clients]}
        line = make_run_line(2, 100, 2700.0, real=1, clients_each=clients, memory=memory)
        idle = line["phases"]["idle"]  # type: ignore[index]
        idle["real"] = {"octets": 3700.0, "core": 0.003 + 6e-5 * clients}
        lines.append(line)
    found = fit_runs(lines, "digest")
    assert found["real_core"].values == pytest.approx((0.003, 6e-5))
    assert found["real_mb"].values == pytest.approx((30.0, 0.04))
    assert "octets" not in found, "all lines have the same number of links"
    predicted = predict(lines, Size("c4000", 2, real=1, clients=4000))
    assert predicted["real_mb"].value == pytest.approx(190.0)
    assert predict(lines, Size("c0", 2, real=1)) == {}
    assert mean_of_members(lines[0], "octets") == pytest.approx((2700.0 + 3700.0) / 2.0)


def test_reports_show_failures_saturation_and_how_straight_a_slope_is(tmp_path: Path) -> None:
    results = Results(tmp_path / "r.jsonl")
    results.start({"experiment": {"name": "x"}, "policies": {}, "revision": "abc"})
    for members, keys in ((4, 10), (8, 10), (4, 100), (8, 200)):
        results.add(make_run_line(members, keys, (members - 1) * (70.0 + 27.0 * keys)))
    results.add({**make_run_line(99, 5, 1.0), "failed": "Overrun: minutes: over 1"})
    rows = table(results)
    assert len(rows) == 1 + 4 * 2 + 1 and {len(row) for row in rows} == {17}
    assert rows[-1][-1].startswith("Overrun")
    assert any("straight" in text and "a links*keys" in text for text in fit_lines(results))
    plot(results, tmp_path / "p.png")
    assert (tmp_path / "p.png").read_bytes().startswith(b"\x89PNG")
