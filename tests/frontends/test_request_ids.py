"""Tests that the id of a request whose client has left is not run again."""

from __future__ import annotations

from pathlib import Path

from support.event_loop import until
from support.network_fakes import echo_lines, encode_request_line, exchange_line, running_relay, send_request

from sageturn.frontends.platform import request_ids
from sageturn.frontends.platform.request_ids import RequestIds


def test_ids_of_requests_without_an_attempt_push_out_none_that_may_have_run() -> None:
    # An id whose client had left could run again once 4,096 other ids had come, rejected ones included.
    ids = RequestIds()
    assert ids.claim(b"sent")
    ids.release(b"sent", was_sent=True)
    for number in range(3 * request_ids.MAX_REMEMBERED_UNSENT_IDS):
        assert ids.claim(b"%d" % number)
        ids.release(b"%d" % number, was_sent=False)
    assert not ids.claim(b"sent")
    assert ids.claim(b"0") and not ids.claim(b"%d" % (3 * request_ids.MAX_REMEMBERED_UNSENT_IDS - 1))


async def test_an_id_whose_client_has_left_does_not_run_again(tmp_path: Path) -> None:
    async with running_relay(tmp_path, echo_lines) as (relay, (endpoint,)):
        line = encode_request_line()
        _, writer = await send_request(relay.listener.address, line)
        await until(lambda: endpoint.request_lines)
        writer.transport.abort()
        assert (await exchange_line(relay.listener.address, line)).startswith(b"ERR")
        assert endpoint.request_lines.count(endpoint.request_lines[0]) == 1
