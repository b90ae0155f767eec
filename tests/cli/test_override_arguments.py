"""``sageturn override``: arguments that would be ignored or misread are errors that name them."""

from __future__ import annotations

from pathlib import Path

import pytest
from typer.testing import CliRunner

from sageturn.cli.exit_codes import ExitCode
from sageturn.cli.main import build_app
from sageturn.cli.override_requests import OverrideUpdate
from sageturn.cli.times import InvalidTimeError
from sageturn.overrides.operations import OperationType

APP = build_app(include_lab=False)


def run_set(tmp_path: Path, *arguments: str) -> tuple[int, str]:
    """Return the exit code and the output; no relay is needed, as arguments are checked first."""
    common = ("--for", "1h", "--why", "x", "--operator", "lan", "--key-file", str(tmp_path / "none.pem"))
    daemon = ("--connect", "127.0.0.1:1", "--secret-file", str(tmp_path / "none"))
    result = CliRunner().invoke(APP, ["override", "set", *arguments, *common, *daemon])
    return result.exit_code, result.output


@pytest.mark.parametrize(
    ("arguments", "message"),
    [
        (("out", "--host", "a", "--factor", "0.5"), "--factor is for weight only"),
        (("hold", "--host", "a", "--factor", "0.5"), "--factor is for weight only"),
        (("weight", "--host", "a", "--factor", "0.5", "--move-off"), "--move-off is for out only"),
        (("out", "--host", "a", "--strict"), "--strict is for pin only"),
        (("out", "--host", "a", "--tenant", "t"), "--tenant is for pin only"),
    ],
)
def test_an_option_that_the_kind_does_not_use_is_an_error(
    tmp_path: Path, arguments: tuple[str, ...], message: str
) -> None:
    # ``set out --factor 0.5``, meant to lower a weight, took the host out of service: the factor was ignored.
    exit_code, output = run_set(tmp_path, *arguments)
    assert exit_code == ExitCode.USAGE and message in output


def test_an_empty_expiry_of_an_extension_is_reported_as_such() -> None:
    # The error once named a field of the record instead.
    extension = OverrideUpdate("o1", OperationType.EXTEND, "lan", "x", expiry="")
    with pytest.raises(InvalidTimeError, match="'' is neither a span such as 2h30m nor an instant"):
        extension.make_operation(revision=2, now_ms=0.0)
    revocation = OverrideUpdate("o1", OperationType.REVOKE, "lan", "x")
    assert revocation.make_operation(revision=2, now_ms=0.0).expires_at_ms == 0.0
