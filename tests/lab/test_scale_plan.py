"""Experiment files of scale runs: which are rejected, and how an error is reported."""

from __future__ import annotations

from pathlib import Path

import pytest

from sageturn.lab.errors import InvalidExperimentError
from sageturn.lab.scale.plan import (
    read_scale,
)


@pytest.mark.parametrize(
    ("text", "named"),
    [
        ("", "missing required field `name`"),
        ('name = "x"\nsizes = []', "`$.sizes`"),
        ('name = "x"\n[[sizes]]\nname = "a"', "missing required field `members` - at `$.sizes[0]`"),
        ('name = "x"\n[[sizes]]\nname = "a"\nmembers = 1', "`$.sizes[0].members`"),
        ('name = "x"\n[[sizes]]\nname = "a"\nmembers = 1001', "`$.sizes[0].members`"),
        ('name = "x"\n[[sizes]]\nname = "a"\nmembers = 4\nkeys = 300000', "`$.sizes[0].keys`"),
        ('name = "x"\n[[sizes]]\nname = "a"\nmembers = 4\nkyes = 3', "unknown field `kyes`"),
        ('name = "x"\n[[sizes]]\nname = "a"\nmembers = 4\nspread = "gossip"', "sizes[0].spread: gossip"),
        ('name = "x"\n[[sizes]]\nname = "a"\nmembers = 4\ntopology = "ring"', "sizes[0].topology: ring"),
        ('name = "x"\n[[sizes]]\nname = "a"\nmembers = 4\nreal = 5', "sizes[0].real:"),
        (
            'name = "x"\n[[sizes]]\nname = "a"\nmembers = 4\n[[sizes]]\nname = "a"\nmembers = 5',
            "sizes[1].name: a",
        ),
        (
            'name = "x"\n[[sizes]]\nname = "a"\nmembers = 4\nfaults = [{kind = "flood"}]',
            "sizes[0].faults[0].kind: flood",
        ),
        (
            'name = "x"\n[[sizes]]\nname = "a"\nmembers = 4\nfaults = [{kind = "loss", part = 1.0}]',
            "sizes[0].faults[0].part:",
        ),
        ('name = "x"\n[[sizes]]\nname = "a"\nmembers = 400\nper_process = 1', "sizes[0].per_process: 405"),
        ('name = "x"\n[[sizes]]\nname = "a"\nmembers = 600\nkeys = 200000', "sizes[0].keys: 1"),
        ('name = "x"\n[[sizes]]\nname = "a"\nmembers = 460\nper_process = 50', "sizes[0].members: 42"),
        ('name = "x"\nbounds = {memory_gb = 13}\n[[sizes]]\nname = "a"\nmembers = 4', "`$.bounds.memory_gb`"),
        ('name = "x"\nbounds = {processes = 999}\n[[sizes]]\nname = "a"\nmembers = 4', "$.bounds.processes"),
        ('name = "x"\nbounds = {minutes = 0.1}\n[[sizes]]\nname = "a"\nmembers = 4', "sizes[0].faults:"),
        ('name = "x"\nzones = 1\n[[sizes]]\nname = "a"\nmembers = 4', "zones:"),
        ('name = "x"\nlanes = {loss = 2}\n[[sizes]]\nname = "a"\nmembers = 4', "`$.lanes.loss`"),
        ('name = "x"\n[[sizes]]\nname = "a"\nmembers = 9\nreal = 9\nclients = 999', "sizes[0].clients:"),
    ],
)
def test_an_error_in_an_experiment_names_its_file_and_key(tmp_path: Path, text: str, named: str) -> None:
    file = tmp_path / "x.toml"
    file.write_text(text, encoding="utf-8")
    with pytest.raises(InvalidExperimentError) as error:
        read_scale(file)
    message = str(error.value)
    assert message.startswith(str(file)) and named in message


def test_a_missing_file_and_invalid_toml_are_reported(tmp_path: Path) -> None:
    with pytest.raises(InvalidExperimentError, match="No such file"):
        read_scale(tmp_path / "none.toml")
    (tmp_path / "bad.toml").write_text("name = ")
    with pytest.raises(InvalidExperimentError, match=r"bad.toml"):
        read_scale(tmp_path / "bad.toml")


def test_all_committed_experiments_can_be_read() -> None:
    files = sorted((Path(__file__).parents[2] / "experiments").glob("scale*.toml"))
    assert files
    for file in files:
        assert read_scale(file).name == file.stem
