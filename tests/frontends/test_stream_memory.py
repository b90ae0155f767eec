"""Tests that a stream's parser holds a bounded memory, whatever its peer sends, and keeps all bytes."""

from __future__ import annotations

import asyncio
import gc
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from support.event_loop import until
from support.network_fakes import echo_lines, encode_request_line, running_relay, send_request
from support.xmpp_fakes import XmppClient, echo_messages
from support.xmpp_relay import (
    make_client_tls_context,
    make_server_tls_context,
    running_xmpp_relay,
    xmpp_address,
)

from sageturn.frontends.xmpp.errors import StreamError
from sageturn.frontends.xmpp.namespaces import RELAY_NS
from sageturn.frontends.xmpp.session import XmppSession
from sageturn.frontends.xmpp.stanza_tree import MAX_REPORT_BYTES, MAX_TREE_BYTES
from sageturn.frontends.xmpp.stream_parser import (
    EVENT_BYTES,
    MAX_REMEMBERED_NAMES,
    NAME_BYTES,
    SESSION_LIMITS,
    Stanza,
    StreamParser,
)

HEADER = (
    b"<?xml version='1.0'?><stream:stream xmlns='jabber:client' "
    b"xmlns:stream='http://etherx.jabber.org/streams' version='1.0' to='guides.example'>"
)
UNPREFIXED_HEADER = b"<stream xmlns='http://etherx.jabber.org/streams' version=\"1.0\" a='>'>"
PIECE_BYTES = 512


def feed_in_pieces(parser: StreamParser, data: bytes, piece_bytes: int = PIECE_BYTES) -> list[Stanza]:
    """Feed ``data``, and return the stanzas, which are taken from the parser after each piece."""
    stanzas: list[Stanza] = []
    for start in range(0, len(data), piece_bytes):
        parser.feed(data[start : start + piece_bytes])
        while parser.events:
            event = parser.pop_event()
            if isinstance(event, Stanza):
                stanzas.append(event)
    return stanzas


def test_names_that_are_ever_new_do_not_add_up() -> None:
    # Expat remembers every name for as long as it lives: with ever new names its memory grew without end.
    parser = StreamParser(SESSION_LIMITS)
    parser.feed(HEADER)
    for number in range(20000):
        stanza = b"<a%d b%d='1'><p%d:c xmlns:p%d='u%d'/>t</a%d>" % ((number,) * 6)
        found = feed_in_pieces(parser, stanza)
        assert [each.raw for each in found] == [stanza]
        assert found[0].element.tag == f"{{jabber:client}}a{number}"
        assert parser.held_bytes < NAME_BYTES * (MAX_REMEMBERED_NAMES + 50)


def test_a_stanza_of_very_many_names_is_an_error() -> None:
    parser = StreamParser(SESSION_LIMITS)
    parser.feed(HEADER)
    fields = b"".join(b" f%d=''" % number for number in range(2 * SESSION_LIMITS.max_names))
    with pytest.raises(StreamError, match="policy-violation"):
        feed_in_pieces(parser, b"<m" + fields + b"><b>")


@pytest.mark.parametrize("children", [b"<a/>" * 16000, b"<a>x</a>" * 7000, b"<a b=''/>" * 6000])
def test_the_tree_of_a_stanza_is_bounded_and_its_bytes_are_complete(children: bytes) -> None:
    # A stanza of 64 KiB had a tree of several megabytes.
    parser = StreamParser(SESSION_LIMITS)
    parser.feed(HEADER)
    report = f"<load xmlns='{RELAY_NS}'>7</load>".encode()
    stanza = b"<iq type='set'>" + children + report + b"</iq>"
    (found,) = feed_in_pieces(parser, stanza)
    assert found.raw == stanza and found.is_truncated
    assert found.element.get("type") == "set"
    assert found.element.findtext(f"{{{RELAY_NS}}}load") == "7"
    assert len(list(found.element.iter())) < (MAX_TREE_BYTES + MAX_REPORT_BYTES) / 256 + 2


def test_a_large_stanza_leaves_no_buffer_behind() -> None:
    parser = StreamParser(SESSION_LIMITS)
    parser.feed(HEADER)
    feed_in_pieces(parser, b"<m a='" + b"x" * 60000 + b"'/>")
    first = parser._parser
    feed_in_pieces(parser, b"<m/>")
    assert parser.held_bytes < 4096 and parser._parser is first
    feed_in_pieces(parser, b"<m a='" + b"x" * 60000 + b"'/>")
    assert parser._parser is not first


def test_queued_events_count_as_held() -> None:
    parser = StreamParser(SESSION_LIMITS)
    parser.feed(HEADER)
    parser.feed(b"<a/>" * 200)
    assert parser.held_bytes > 200 * EVENT_BYTES
    while parser.events:
        parser.pop_event()
    assert parser.held_bytes < 4096


names = st.sampled_from(["a", "b", "message", "iq"])
texts = st.text("ab >é&😀", max_size=8).map(lambda text: text.replace("&", "&amp;").replace("<", "&lt;"))
elements = st.recursive(
    st.builds("<{0} k='{1}'/>".format, names, texts) | st.builds("<{0}>{1}</{0}>".format, names, texts),
    lambda inner: st.builds(
        lambda name, parts: f"<{name}>{''.join(parts)}</{name}>", names, st.lists(inner, max_size=4)
    ),
    max_leaves=8,
)


@pytest.mark.parametrize("header", [HEADER, UNPREFIXED_HEADER])
@given(stanzas=st.lists(elements, max_size=6), cuts=st.integers(1, 40), replaced=st.booleans())
def test_stanzas_are_the_same_however_often_expat_is_replaced(
    header: bytes, stanzas: list[str], cuts: int, replaced: bool
) -> None:
    parser = StreamParser(SESSION_LIMITS)
    parser.feed(header)
    parser.events.clear()
    data = " ".join(stanzas).encode()
    found: list[Any] = []
    for start in range(0, len(data), cuts):
        parser.feed(data[start : start + cuts])
        if replaced:
            parser._replace_expat()
        while parser.events:
            found.append(parser.pop_event())
    assert [event.raw.decode() for event in found] == stanzas


class HeldChannel:
    """Channel that returns ``data`` again and again, each time once it is allowed to."""

    def __init__(self, data: bytes) -> None:
        self._data = data
        self.allowed = asyncio.Event()

    async def receive(self) -> bytes:
        await self.allowed.wait()
        await asyncio.sleep(0)
        return self._data


async def test_input_that_arrives_after_the_rest_was_discarded_is_not_parsed() -> None:
    # The client is about to be moved; an error of its half stanza would have ended its stream first.
    channel = HeldChannel(b"</wrong>")
    session = XmppSession(channel)  # type: ignore[arg-type]
    session.parser.feed(HEADER + b"<message><body>")
    await session.expect_header()
    reading = asyncio.ensure_future(session.next_event())
    await asyncio.sleep(0)
    session.discard_input()
    channel.allowed.set()
    await asyncio.wait((reading,), timeout=0.05)
    assert not reading.done() and not session.parser.is_mid_stanza
    reading.cancel()


async def serve_lines(folder: Path) -> int:
    """Serve ten clients of the line protocol without garbage collections; return what is left for one."""
    async with running_relay(folder, echo_lines) as (relay, _):
        gc.collect()
        gc.disable()
        for _ in range(10):
            reader, writer = await send_request(relay.listener.address, encode_request_line())
            assert await reader.readline() == b"UP r1\r\n"
            writer.close()
            await until(lambda: relay.admission.connection_count == 0)
        return count_garbage()


async def serve_xmpp(folder: Path) -> int:
    """Serve ten XMPP clients over TLS without garbage collections; return what is left for one."""
    async with running_xmpp_relay(
        folder, lambda server: echo_messages(server, make_server_tls_context()), tls=True
    ) as (relay, _):
        gc.collect()
        gc.disable()
        for _ in range(10):
            client = await XmppClient.connect(xmpp_address(relay))
            await client.login(make_client_tls_context())
            await client.bind()
            client.send("</stream:stream>")
            await client.read_rest()
            client.writer.close()
            await until(lambda: relay.admission.connection_count == 0)
        return count_garbage()


def count_garbage() -> int:
    """Return the number of unreachable objects of this program, which a collection would have to find."""
    gc.set_debug(gc.DEBUG_SAVEALL)
    gc.collect()
    count = sum(type(each).__module__.startswith("sageturn.") for each in gc.garbage)
    gc.set_debug(0)
    gc.garbage.clear()
    return count


@pytest.mark.parametrize("serve", [serve_lines, serve_xmpp])
async def test_an_ended_connection_waits_for_no_garbage_collection(tmp_path: Path, serve: Any) -> None:
    # Parsers, buffers and TLS state of ended connections stayed until the collector's oldest generation was
    # due, minutes later: 300 clients had left, and the relay still had the memory of all.
    try:
        await asyncio.sleep(0)
        assert await serve(tmp_path) == 0
    finally:
        gc.enable()
