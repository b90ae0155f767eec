"""Stories on discovery's wire: 503, resets, silence, half lines; a watch is asked for again each time."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

import pytest
from net_peers import Discovery, chunked, listed, served, write_config

from sageturn.config import load
from sageturn.net.discovery import BadList, read_listed
from sageturn.relay import Relay

HERE = ("127.0.0.1", 9)
FULL = chunked(listed({"a": HERE}, 7))
BUSY = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
HALF = FULL[: len(FULL) // 2] + b"#"
CLOSED = chunked(listed({"a": HERE}, 6)) + b"0\r\n\r\n#"


def run(folder: Path, *answers: bytes, known: dict[str, Any] | None = None) -> tuple[Relay, Discovery]:
    """Until version 7 has come, by whatever way."""

    async def go() -> tuple[Relay, Discovery]:
        async with AsyncExitStack() as stack:
            discovery = Discovery(*answers)
            await stack.enter_async_context(served(discovery))
            relay = Relay(load({"GW_CONFIG": str(write_config(folder, discovery.address, known))}))
            relay.start()
            stack.push_async_callback(relay.stop)
            async with asyncio.timeout(15):
                while relay.destinations.version != 7:
                    await asyncio.sleep(0.01)
            return relay, discovery

    return asyncio.run(go())


@pytest.mark.parametrize("trouble", [BUSY, b"", HALF, CLOSED, b"nonsense\r\n\r\n#", b"HTTP/1.1 200 OK\r\n#"])
def test_a_watch_that_fails_is_asked_for_again_with_a_pause(tmp_path: Path, trouble: bytes) -> None:
    # Each of these is normal there; none may end the relay, and a broken call must not be hammered.
    relay, discovery = run(tmp_path, trouble, trouble, FULL)
    assert len(discovery.asked) == 3
    gaps = [b[0] - a[0] for a, b in zip(discovery.asked, discovery.asked[1:], strict=False)]
    assert all(gap > 0.3 for gap in gaps) and sum(gaps) < 6
    assert relay.destinations.usable.is_set()


def test_a_silent_watch_is_given_up(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    # A machine that vanished holds the connection open; what it has to tell counts as told after 6 s.
    monkeypatch.setattr("sageturn.net.discovery.SILENCE_S", 0.2)
    _, discovery = run(tmp_path, chunked(listed({"a": HERE}, 6)), FULL)
    assert discovery.asked[1][1] == b"GET /v1/endpoints?stream=1&index=6 HTTP/1.1"


def test_a_watch_starts_from_the_version_known(tmp_path: Path) -> None:
    _, discovery = run(tmp_path, FULL, known=listed({"a": HERE}, 5))
    assert discovery.asked[0][1] == b"GET /v1/endpoints?stream=1&index=5 HTTP/1.1"


def test_changes_are_merged_and_a_host_left_out_of_a_full_list_is_gone(tmp_path: Path) -> None:
    change = {**listed({"b": HERE}, 6), "full": False}
    relay, _ = run(tmp_path, chunked(change, listed({"c": HERE}, 7)), known=listed({"a": HERE}, 5))
    assert set(relay.destinations.addresses) == {"a", "b", "c"}  # kept: a call may be on its way there
    assert relay.destinations._states == {"c": "ready"}


@pytest.mark.parametrize(
    "bad", [{}, {"servers": [{}], "version": 1}, {"servers": [{"id": "a", "state": "odd"}], "version": 1}, []]
)
def test_half_a_list_is_not_believed(bad: Any) -> None:
    with pytest.raises(BadList):
        read_listed(bad)
