"""Tests of what proves that an endpoint never ran a request of an unsafe class, on both wires."""

from __future__ import annotations

from pathlib import Path

import pytest
from support.network_fakes import SETTINGS, encode_request_line, exchange_line, respond_with, running_relay
from support.xmpp_fakes import BIND_NAMESPACE, STREAM_HEADER, SessionScript, XmppClient, XmppServerSession
from support.xmpp_relay import make_client_tls_context, running_xmpp_relay, xmpp_address

UNSAFE_SETTINGS = {
    **SETTINGS,
    "classes": [{"name": "c", "aimMs": 1500.0, "hardLimitMs": 3000.0, "semantics": "unsafe"}],
}
STREAM_ERRORS_NAMESPACE = "urn:ietf:params:xml:ns:xmpp-streams"
STANZA_ERRORS_NAMESPACE = "urn:ietf:params:xml:ns:xmpp-stanzas"
ENDPOINT_COUNT = 3


def encode_stream_error(condition: str) -> str:
    return f"<stream:error><{condition} xmlns='{STREAM_ERRORS_NAMESPACE}'/></stream:error></stream:stream>"


def encode_stanza_error(condition: str, tag: str = "iq", stanza_id: str = "bind") -> str:
    error = f"<error type='wait'><{condition} xmlns='{STANZA_ERRORS_NAMESPACE}'/></error>"
    return f"<{tag} type='error' id='{stanza_id}'>{error}</{tag}>"


class ExecutionRecorder:
    """Endpoint script that counts the binds that it has run, and ends each with ``answer``."""

    def __init__(self, answer: str) -> None:
        self.executions = 0
        self._answer = answer

    async def answer_bind(self, server: XmppServerSession) -> None:
        await server.accept()
        self.executions += 1
        server.send(self._answer)
        await server.writer.drain()


async def bind_once(folder: Path, script: SessionScript) -> str:
    """Have one client bind at endpoints that all run ``script``; return what it is answered."""
    scripts, config = [script] * ENDPOINT_COUNT, {"settings": UNSAFE_SETTINGS}
    async with running_xmpp_relay(folder, *scripts, config=config) as (relay, _):
        client = await XmppClient.connect(xmpp_address(relay))
        await client.login(make_client_tls_context())
        client.send_bind()
        return await client.read_rest()


@pytest.mark.parametrize(
    "answer",
    [
        encode_stream_error("system-shutdown"),
        encode_stream_error("see-other-host"),
        encode_stream_error("resource-constraint"),
        encode_stream_error("reset"),
        encode_stanza_error("resource-constraint", stanza_id="other"),
        encode_stanza_error("resource-constraint", tag="message"),
        encode_stanza_error("internal-server-error"),
        f"<iq type='result' id='other'><bind xmlns='{BIND_NAMESPACE}'><jid>a/b</jid></bind></iq>",
        "</stream:stream>",
        "",
    ],
)
async def test_an_unsafe_bind_that_may_have_run_is_neither_repeated_nor_rejected(
    tmp_path: Path, answer: str
) -> None:
    # An endpoint that shut down ended the stream by system-shutdown after it had run the bind. The relay took
    # that for a proof that it never ran, and had a second endpoint run it.
    endpoint = ExecutionRecorder(answer)
    received = await bind_once(tmp_path, endpoint.answer_bind)
    assert endpoint.executions == 1
    assert received.startswith("<stream:error><remote-connection-failed ")
    assert received.endswith("</stream:stream>")


@pytest.mark.parametrize("condition", ["resource-constraint", "service-unavailable"])
async def test_an_unsafe_bind_that_its_endpoint_refused_is_repeated_and_rejected(
    tmp_path: Path, condition: str
) -> None:
    # The error stanza that answers the bind itself is XMPP's BUSY: it proves that the bind was not run.
    endpoint = ExecutionRecorder(encode_stanza_error(condition))
    received = await bind_once(tmp_path, endpoint.answer_bind)
    assert endpoint.executions == ENDPOINT_COUNT
    assert "<resource-constraint " in received


@pytest.mark.parametrize("condition", ["system-shutdown", "see-other-host", "resource-constraint"])
async def test_a_stream_error_before_the_bind_is_written_proves_that_it_never_ran(
    tmp_path: Path, condition: str
) -> None:
    async def refuse_stream(server: XmppServerSession) -> None:
        await server.read_until("<stream:stream[^>]*>")
        server.send(STREAM_HEADER.format("from") + encode_stream_error(condition))
        await server.writer.drain()

    assert "<resource-constraint " in await bind_once(tmp_path, refuse_stream)


@pytest.mark.parametrize(
    ("answer", "requests", "response"),
    [
        (b"BUSY\r\n", ENDPOINT_COUNT, b"BUSY"),
        (b"BUSY\r\nUP r1\r\n", 1, b"ERR"),
        (b"MOVE\r\n", 1, b"ERR"),
        (b"BYE\r\n", 1, b"ERR"),
        (b"ERR\r\n", 1, b"ERR"),
        (b"BUSY", 1, b"ERR"),
        (b"", 1, b"ERR"),
    ],
)
async def test_only_busy_proves_on_the_line_protocol_that_a_request_never_ran(
    tmp_path: Path, answer: bytes, requests: int, response: bytes
) -> None:
    scripts = [respond_with(answer)] * ENDPOINT_COUNT
    async with running_relay(tmp_path, *scripts, settings=UNSAFE_SETTINGS) as (relay, endpoints):
        received = await exchange_line(relay.listener.address, encode_request_line())
        assert received.startswith(response)
        assert sum(len(endpoint.request_lines) for endpoint in endpoints) == requests
