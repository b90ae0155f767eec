"""Cost measurements of single parts of a relay's control plane."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from typer.testing import CliRunner

from sageturn.cli.main import build_app
from sageturn.lab.scale import costs, relay_costs, store_costs
from sageturn.lab.scale.cost_measurement import make_store
from sageturn.lab.scale.list_calls import list_calls


def test_each_part_is_measured_at_the_requested_size() -> None:
    digest = store_costs.store_digest(30)
    frame = json.dumps({"digest": make_store(30).digest()}, separators=(",", ":"))
    assert digest.byte_count == len(frame) and digest.frame_ratio == pytest.approx(len(frame) / (4 << 20))
    memory = store_costs.store_memory(300)
    assert memory.record_count == 300 and memory.byte_count > 300 * 100
    log = store_costs.store_log(30)
    assert log.byte_count > 30 * 50 and log.put_s > 0
    copied = store_costs.operator_command(450)  # three frames of records
    assert copied.record_count == 450 and 0 < copied.copied_s <= copied.done_s
    assert relay_costs.list_reading(40).byte_count > 40 * 100
    assert relay_costs.decisions(12).placed_ratio == 1.0
    longer, shorter = relay_costs.flow_record(9), relay_costs.flow_record(8)
    assert longer.byte_count - shorter.byte_count == 2, "class and tenant"


def test_list_calls_queue_and_fail_when_discovery_is_slower_than_they_arrive() -> None:
    quick, slow = list_calls(60, 2.0, True, 1), list_calls(60, 130.0, True, 1)
    assert quick.failed == 0 and quick.calls == 60 and quick.last_s < 2.0
    assert slow.failed > 0 and slow.calls == 60 + slow.failed and slow.last_s > 60 * 0.13
    assert list_calls(60, 130.0, True, 1) == slow, "the same seed gives the same result"


def test_a_parts_lines_end_with_its_fits_and_an_unknown_part_is_rejected(tmp_path: Path) -> None:
    lines = list(costs.run_costs(["flow_record"]))
    assert [line.get("fit") for line in lines] == [None] * 4 + ["octets"]
    assert lines[-1]["straight"] and lines[-1]["values"][1] == pytest.approx(2.0)
    rejected = CliRunner().invoke(
        build_app(), ["lab", "costs", "--out", str(tmp_path / "c"), "--only", "flows"]
    )
    assert rejected.exit_code == 2 and "only: flows" in rejected.stderr
    accepted = CliRunner().invoke(
        build_app(), ["lab", "costs", "--out", str(tmp_path / "c"), "--only", "flow_record"]
    )
    assert accepted.exit_code == 0
    assert [json.loads(line)["part"] for line in (tmp_path / "c").read_text().splitlines()] == [
        "flow_record"
    ] * 5


def test_the_command_names_the_invalid_key_of_a_file(tmp_path: Path) -> None:
    (tmp_path / "x.toml").write_text('name = "x"\n[[sizes]]\nname = "a"\nmembers = 4\nspread = "gossip"')
    rejected = CliRunner().invoke(
        build_app(), ["lab", "scale", str(tmp_path / "x.toml"), "--out", str(tmp_path / "o")]
    )
    assert rejected.exit_code == 2 and "sizes[0].spread" in rejected.stderr and not (tmp_path / "o").exists()
