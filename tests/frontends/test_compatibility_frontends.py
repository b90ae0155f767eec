"""What each frontend sends to clients and endpoints stays as revision 6e0cdec sent it, byte for byte.

``platform.json``, ``xmpp.json`` and ``xmpp-*.transcript`` hold the bytes. A transcript has a line for each
piece: ``>`` what the relay sent, ``<`` what it was sent.
"""

from __future__ import annotations

import asyncio
import base64
import json
import secrets
import socket
import tempfile
from collections.abc import Awaitable, Callable, Iterator, Sequence
from contextlib import contextmanager
from functools import partial
from pathlib import Path
from typing import Any, NamedTuple, TypeVar
from unittest import mock

import pytest
from scramp import ScramClient, ScramMechanism  # type: ignore[import-untyped]  # it has no stubs
from scramp.core import Nonce  # type: ignore[import-untyped]  # it has no stubs
from support.network_fakes import EndpointScript, never_respond, respond_with, running_relay, send_request

from sageturn.core.messages import FinalResponse
from sageturn.frontends.platform import frontend as platform_frontend
from sageturn.frontends.platform.connection import send_final_response
from sageturn.frontends.xmpp import client_login, endpoint_login
from sageturn.frontends.xmpp.accounts import ACCOUNT_KEY_PREFIX, Accounts
from sageturn.frontends.xmpp.connection import encode_bind_result
from sageturn.frontends.xmpp.errors import (
    EndpointLoginRejectedError,
    StreamError,
    encode_final_response,
    encode_move,
    encode_stream_error,
)
from sageturn.frontends.xmpp.frontend import REJECTION
from sageturn.frontends.xmpp.options import EndpointOptions, XmppOptions
from sageturn.frontends.xmpp.session import XmppSession
from sageturn.frontends.xmpp.stream_parser import StreamParser
from sageturn.net.json_stream import JsonObject

FIXTURES = Path(__file__).parents[1] / "fixtures" / "fronts"

pytestmark = pytest.mark.timeout(10)

Result = TypeVar("Result")


def as_json(recorded: dict[str, bytes]) -> bytes:
    """Bytes as text of Latin-1, which has one character for each."""
    lines = {name: data.decode("latin-1") for name, data in recorded.items()}
    return json.dumps(lines, indent=1, sort_keys=True).encode() + b"\n"


def from_json(name: str) -> dict[str, bytes]:
    lines = json.loads((FIXTURES / name).read_bytes())
    return {key: text.encode("latin-1") for key, text in lines.items()}


ANSWERS = {
    "refused": FinalResponse(rejected=True),
    "refused-with-retry": FinalResponse(rejected=True, retry_after_ms=1234.5),
    "refused-with-short-retry": FinalResponse(rejected=True, retry_after_ms=0.9),
    "refused-by-shutdown": FinalResponse(rejected=True, retry_after_ms=250.0, reason="shutdown"),
    "failed-by-shutdown": FinalResponse(rejected=False, reason="shutdown"),
    "unavailable": FinalResponse(rejected=False, reason="unavailable"),
    "internal": FinalResponse(rejected=False, reason="internal"),
    "lost": FinalResponse(rejected=False, reason="lost"),
    "wait": FinalResponse(rejected=False, reason="wait for the answer"),
}

# ---------------------------------------------------------------- the platform's front

FIRST_LINES = {
    "not-open": b"GET / HTTP/1.1\r\n",
    "too-few-words": b"OPEN id1\r\n",
    "binary": b"\x00\xff\xfe\r\n",
    "no-carriage-return": b"OPEN a b c=c,t=t,d=9\n",
    "bad-time": b"OPEN a b c=c,t=t,d=x\r\n",
    "no-time": b"OPEN a b c=c,t=t\r\n",
    "bad-class": b"OPEN a b c=nope,t=t,d=9\r\n",
    "no-class": b"OPEN a b t=t,d=9\r\n",
    "twice": b"OPEN a b c=c,d=9,d=8\r\n",
    "comma": b"OPEN a b c=c,t=t,d=9,\r\n",
    "bad-list": b"OPEN a b c=c,,t=t\r\n",
    "two-lines": b"OPEN a b c=c,t=t,d=9\r\nOPEN",
    "too-long": b"x" * 4096,
    "ping-then-bad": b"PING\r\n",
}
OPEN = b"OPEN id-1 key-1 c=c,t=t,d=2000,g=x9,extra=y\r\n"
ENDPOINTS: dict[str, bytes] = {
    "up-and-bye": b"UP r1 host\r\nM 1 abc\r\nLOAD 2.5\r\nBYE\r\n",
    "up-and-move": b"UP r1\r\nMOVE\r\n",
    "up-and-end": b"UP r1\r\nhalf a li",
    "errors": b"ERR overloaded\r\n",
    "ends": b"",
    "garbled": b"up?\r\n",
}


async def let_request_line_time_out(address: tuple[str, int]) -> bytes:
    with mock.patch.object(platform_frontend, "REQUEST_LINE_TIMEOUT_S", 0.02):
        return await exchange_lines(address, b"")


async def exchange_lines(address: tuple[str, int], *lines: bytes) -> bytes:
    """Sends lines, each after a response to the one before. Returns all that is received."""
    reader, writer = await send_request(address, lines[0])
    received = b""
    for line in lines[1:]:
        received += await reader.readline()
        writer.write(line)
    received += await reader.read()
    writer.close()
    return received


async def record_bytes_sent_by(answering: Callable[[socket.socket], Awaitable[None]]) -> bytes:
    near, far = socket.socketpair()
    near.setblocking(False)
    with far:
        task = asyncio.ensure_future(answering(near))
        reader, writer = await asyncio.open_connection(sock=far)
        received = await reader.read()
        writer.close()
        await task
        return received


async def platform_answers(folder: Path) -> dict[str, bytes]:
    answers = {"turned-away": platform_frontend.PlatformFrontend.rejection}
    for name, answer in ANSWERS.items():
        answers[f"answer.{name}"] = await record_bytes_sent_by(partial(send_final_response, response=answer))
    async with running_relay(folder, never_respond) as (relay, _):
        address = relay.listener.address
        for name, line in FIRST_LINES.items():
            more = (b"nonsense\r\n",) if line == b"PING\r\n" else ()
            answers[f"first-line.{name}"] = await exchange_lines(address, line, *more)
        answers["first-line.late"] = await let_request_line_time_out(address)
    return answers


class Exchange(NamedTuple):
    """The data that the client received, and the request line that the endpoint received without its wait."""

    received: bytes
    forwarded: bytes


async def platform_exchange(folder: Path, script: EndpointScript) -> Exchange:
    async with running_relay(folder, script) as (relay, (endpoint,)):
        received = await exchange_lines(relay.listener.address, OPEN)
        before, _, rest = endpoint.request_lines[0].partition(b"d=")
        digits, comma, after = rest.partition(b",")
        assert digits.isdigit() and 0 < int(digits) <= 2000
        return Exchange(received, before + b"d=#" + comma + after)


async def platform_move(folder: Path) -> bytes:
    """Returns what an established client receives as the relay asks it to reconnect."""

    async def stay_open(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, line: bytes) -> None:
        writer.write(b"UP r1\r\n")
        await reader.read()

    async with running_relay(folder, stay_open) as (relay, _):
        reader, writer = await send_request(relay.listener.address, OPEN)
        received = await reader.readline()
        (lifecycle,) = relay.request_registry
        relay.balancer_actor.migrate_connection(lifecycle.id)
        received += await reader.read()
        writer.close()
        return received


async def send_duplicate_id_and_early_input(folder: Path) -> dict[str, bytes]:
    async with running_relay(folder, never_respond) as (relay, _):
        address = relay.listener.address
        reader, writer = await send_request(address, OPEN)
        while not len(relay.request_registry):
            await asyncio.sleep(0)
        same_id = await exchange_lines(address, OPEN)
        writer.write(b"M" * 5000)
        hasty = await reader.read()
        writer.close()
        return {"first-line.id-in-use": same_id, "exchange.spoke-before-the-answer": hasty}


async def run_in_new_folder(scenario: Callable[..., Awaitable[Result]], *arguments: object) -> Result:
    """Runs ``scenario`` in a new folder. Returns its result."""
    with tempfile.TemporaryDirectory() as folder:
        return await scenario(Path(folder), *arguments)


async def make_platform() -> dict[str, bytes]:
    recorded = await run_in_new_folder(platform_answers) | await run_in_new_folder(
        send_duplicate_id_and_early_input
    )
    for name, text in ENDPOINTS.items():
        exchange = await run_in_new_folder(platform_exchange, respond_with(text))
        recorded[f"exchange.{name}"] = exchange.received
        recorded[f"forwarded.{name}"] = exchange.forwarded
    recorded["exchange.moved"] = await run_in_new_folder(platform_move)
    return recorded


# ---------------------------------------------------------------- XMPP: single answers

FAULTS = [
    ("connection-timeout", ""),
    ("policy-violation", "too <large> & \"odd\" 'ế'"),
    ("not-well-formed", "mismatched tag"),
]
HEADER = (
    b"<?xml version='1.0'?><stream:stream xmlns='jabber:client' "
    b"xmlns:stream='http://etherx.jabber.org/streams' version='1.0' to='guides.example'>"
)
BAD_STREAMS = {
    "not-well-formed": HEADER + b"<a></b>",
    "unbound-prefix": HEADER + b"<x:a/>",
    "foreign-prefix": HEADER.replace(b" to=", b" xmlns:q='urn:q' to="),
    "wrong-namespace": b"<stream xmlns='urn:other'>",
    "comment": HEADER + b"<!-- c -->",
    "doctype": b"<!DOCTYPE a>" + HEADER,
    "instruction": HEADER + b"<?pi x?>",
    "encoding": b"<?xml version='1.0' encoding='ISO-8859-1'?>",
    "text-between": HEADER + b"words",
    "deep": HEADER + b"<a>" * 70,
    "large": HEADER + b"<a>" + b"x" * 70000,
    "large-header": b"<stream:stream a='" + b"x" * 5000,
}


def stream_error_of(stream: bytes) -> bytes:
    """Returns the stream error by which a client's stream is answered."""
    parser = StreamParser()
    try:
        parser.feed(stream)
    except StreamError as fault:
        return encode_stream_error(fault.condition, fault.text)
    raise AssertionError("it was accepted")


def stanzas_of(stream: bytes) -> list[bytes]:
    parser = StreamParser()
    for position in range(len(stream)):
        parser.feed(stream[position : position + 1])
    return [piece.raw for piece in parser.events if hasattr(piece, "raw")]


def bound_result(sock: Any, iq_id: str, jid: str) -> Awaitable[None]:
    return XmppSession(sock).send(encode_bind_result(iq_id, jid))


async def make_xmpp() -> dict[str, bytes]:
    recorded = {"turned-away": REJECTION, "move": encode_move()}
    recorded |= {f"answer.{name}": encode_final_response(answer) for name, answer in ANSWERS.items()}
    recorded |= {f"fault.{number}": encode_stream_error(*fault) for number, fault in enumerate(FAULTS)}
    recorded |= {f"stream.{name}": stream_error_of(stream) for name, stream in BAD_STREAMS.items()}
    channel = ScriptedChannel()
    await bound_result(channel, "b<1>'", "lan@guides.example/a&b")
    recorded["bound"] = channel.sent()
    return recorded


# ---------------------------------------------------------------- XMPP: conversations

SASL = b"xmlns='urn:ietf:params:xml:ns:xmpp-sasl'"
SERVER_HEADER = HEADER.replace(b" to=", b" from=")
ACCOUNT_PASSWORD = "pw"
SALT = bytes(range(16))
Line = bytes | Callable[[bytes], bytes]  # sent to the relay; made from what it sent last where necessary


class ScriptedChannel:
    """Stands in for a socket: hands out the peer's lines in turn, and records both directions."""

    def __init__(self, *lines: Line, secure: bool = False) -> None:
        self.is_encrypted, self.sock = secure, None
        self._lines, self._last = list(lines), b""
        self.pieces: list[tuple[bytes, bytes]] = []

    async def receive(self) -> bytes:
        if not self._lines:
            return b""
        line = self._lines.pop(0)
        data = line if isinstance(line, bytes) else line(self._last)
        self.pieces.append((b"<", data))
        self._last = b""
        return data

    def receive_available(self) -> bytes | None:
        return None

    async def send(self, data: bytes) -> None:
        self._last += data
        self.pieces.append((b">", data))

    async def send_close(self) -> None:
        pass

    async def handshake(self) -> None:
        self.is_encrypted = True

    def sent(self) -> bytes:
        return b"".join(data for direction, data in self.pieces if direction == b">")

    def transcript(self) -> bytes:
        return b"".join(direction + b" " + data + b"\n" for direction, data in self.pieces)


def account_record() -> JsonObject:
    made = ScramMechanism("SCRAM-SHA-256").make_auth_info(ACCOUNT_PASSWORD, iteration_count=4096, salt=SALT)
    salt, stored, endpoint, count = made
    return {
        "class": "c",
        "tenant": "t",
        "group": "",
        "salt": salt.hex(),
        "stored_key": stored.hex(),
        "server_key": endpoint.hex(),
        "iterations": count,
    }


@contextmanager
def fixed_randomness() -> Iterator[None]:
    with (
        mock.patch.multiple(secrets, token_hex=lambda size=8: "5a" * size),
        mock.patch.object(Nonce, "create", lambda: Nonce("relay-nonce")),
    ):
        yield


async def accept_client(channel: ScriptedChannel, tls: bool) -> str:
    """Accepts a client's stream. Returns a summary of its bind request, or the fault that ended it."""
    endpoint = EndpointOptions("guides.example", "relay", "relay-pw", None)
    context: Any = object() if tls else None
    options = XmppOptions(("127.0.0.1", 0), "guides.example", context, 2000.0, endpoint, 0)
    session = XmppSession(channel)  # type: ignore[arg-type]
    accounts = Accounts({ACCOUNT_KEY_PREFIX + "lan": account_record()})
    login = client_login.ClientLogin(session, options, accounts)
    with mock.patch.object(client_login, "TlsChannel", lambda *words, **more: channel):
        try:
            await login.exchange_headers()
            request = await login.run()
            return f"{request.account.name} {request.iq_id} {request.resource}"
        except StreamError as fault:
            await session.close_with_error(fault, options.domain)
            return str(fault)


async def dial_endpoint(channel: ScriptedChannel, tls: bool) -> str:
    """Opens the stream to an endpoint. Returns the bound resource, or the name of the close reason."""
    context: Any = object() if tls else None
    options = EndpointOptions("guides.example", "relay", "relay-pw", context)
    account = Accounts({ACCOUNT_KEY_PREFIX + "lan": account_record()}).find("lan")
    assert account is not None
    request = client_login.BindRequest(account, "b1", "desk<1>")
    session = XmppSession(channel)  # type: ignore[arg-type]
    login = endpoint_login.EndpointLogin(session, options, request, lambda: None)
    with mock.patch.object(endpoint_login, "TlsChannel", lambda *words, **more: channel):
        try:
            return await login.run()
        except EndpointLoginRejectedError as refusal:
            return refusal.close_reason.name


def encode_base64(text: str) -> bytes:
    return base64.b64encode(text.encode())


def decode_element(data: bytes) -> str:
    """Returns the text of the last element in ``data``, decoded from base64."""
    return base64.b64decode(data.rpartition(b"</")[0].rpartition(b">")[2]).decode()


class ScriptedScram:
    """A client's, and a server's, side of the exchange, with nonces of its own."""

    def __init__(self) -> None:
        self.client = ScramClient(["SCRAM-SHA-256"], "lan", ACCOUNT_PASSWORD, c_nonce="client-nonce")
        mechanism = ScramMechanism("SCRAM-SHA-256")
        info = mechanism.make_auth_info("relay-pw", iteration_count=4096, salt=SALT)
        self.endpoint = mechanism.make_server(lambda name: info, s_nonce="server-nonce")

    def auth(self, _: bytes) -> bytes:
        first = encode_base64(self.client.get_client_first())
        return b"<auth %s mechanism='SCRAM-SHA-256'>%s</auth>" % (SASL, first)

    def response(self, element: bytes) -> bytes:
        self.client.set_server_first(decode_element(element))
        return b"<response %s>%s</response>" % (SASL, encode_base64(self.client.get_client_final()))

    def challenge(self, element: bytes) -> bytes:
        self.endpoint.set_client_first(decode_element(element))
        return b"<challenge %s>%s</challenge>" % (SASL, encode_base64(self.endpoint.get_server_first()))

    def success(self, element: bytes) -> bytes:
        self.endpoint.set_client_final(decode_element(element))
        return b"<success %s>%s</success>" % (SASL, encode_base64(self.endpoint.get_server_final()))


STARTTLS = b"<starttls xmlns='urn:ietf:params:xml:ns:xmpp-tls'/>"
BIND = b"<bind xmlns='urn:ietf:params:xml:ns:xmpp-bind'>%s</bind>"
BIND_REQUEST = b"<iq type='set' id='b1'>" + BIND % b"<resource>desk</resource>" + b"</iq>"
BOUND = b"<iq type='result' id='bind'>" + BIND % b"<jid>lan@guides.example/desk</jid>" + b"</iq>"
NO_CAPACITY = b"<iq type='error' id='bind'><error type='wait'><resource-constraint/></error></iq>"
BUSY_STREAM = encode_stream_error("resource-constraint")


def plain(text: str) -> bytes:
    return b"<auth %s mechanism='PLAIN'>%s</auth>" % (SASL, encode_base64(text))


def features(content: bytes) -> bytes:
    return SERVER_HEADER + b"<stream:features>" + content + b"</stream:features>"


def mechanisms(name: bytes) -> bytes:
    return features(b"<mechanisms %s><mechanism>%s</mechanism></mechanisms>" % (SASL, name))


def client_scripts() -> dict[str, tuple[bool, Sequence[Line]]]:
    """Returns by name whether TLS is required, and what the client sends."""
    scram = ScriptedScram()
    bind_first_scram = ScriptedScram()
    wrong = plain("\0lan\0wrong")
    return {
        "scram": (False, [HEADER, scram.auth, scram.response, HEADER, BIND_REQUEST]),
        "plain-over-tls": (True, [HEADER, STARTTLS, HEADER, plain("\0lan\0pw"), HEADER, BIND_REQUEST]),
        "no-tls": (True, [HEADER, b"<auth/>"]),
        "wrong-password": (True, [HEADER, STARTTLS, HEADER, wrong, wrong, wrong]),
        "sasl-failures": (
            True,
            [
                HEADER,
                STARTTLS,
                HEADER,
                plain("x"),
                plain("who@else\0lan\0pw"),
                plain("\0lan\0pw")[:-12] + b"</auth>",
            ],
        ),
        "mechanism": (
            False,
            [HEADER, plain("\0lan\0pw"), b"<auth %s mechanism='X'>*</auth>" % SASL, b"<message/>"],
        ),
        "host": (False, [HEADER.replace(b"guides.example", b"other.example")]),
        "version": (False, [HEADER.replace(b"version='1.0' to", b"version='0.9' to")]),
        "bind-first": (
            False,
            [HEADER, bind_first_scram.auth, bind_first_scram.response, HEADER, b"<message/>"],
        ),
    }


def endpoint_scripts() -> dict[str, tuple[bool, Sequence[Line]]]:
    """Returns by name whether TLS is required, and what the endpoint sends."""
    scram = ScriptedScram()
    sasl, bind = mechanisms(b"SCRAM-SHA-256"), features(BIND % b"")
    tls = [features(STARTTLS), b"<proceed xmlns='urn:ietf:params:xml:ns:xmpp-tls'/>", mechanisms(b"PLAIN")]
    success = b"<success %s/>" % SASL
    return {
        "scram": (False, [sasl, scram.challenge, scram.success, bind, BOUND]),
        "plain-over-tls": (True, [*tls, success, bind, BOUND]),
        "no-room": (True, [*tls, success, bind, NO_CAPACITY]),
        "busy": (False, [SERVER_HEADER + BUSY_STREAM]),
        "lost-its-tls": (True, [sasl]),
        "no-mechanism": (False, [mechanisms(b"X")]),
        "garbled": (False, [SERVER_HEADER + b"</wrong>"]),
    }


async def converse(name: str, side: str) -> bytes:
    scripts, run = (
        (client_scripts(), accept_client) if side == "client" else (endpoint_scripts(), dial_endpoint)
    )
    tls, lines = scripts[name]
    channel = ScriptedChannel(*lines)
    with fixed_randomness():
        result = await run(channel, tls)
    return channel.transcript() + b"= " + result.encode() + b"\n"


CONVERSATIONS = [("client", name) for name in client_scripts()]
CONVERSATIONS += [("endpoint", name) for name in endpoint_scripts()]


async def produced() -> dict[str, bytes]:
    files = {"platform.json": as_json(await make_platform()), "xmpp.json": as_json(await make_xmpp())}
    for side, name in CONVERSATIONS:
        files[f"xmpp-{side}-{name}.transcript"] = await converse(name, side)
    return files


# ---------------------------------------------------------------- tests


def recorded_platform(prefix: str) -> dict[str, bytes]:
    return {key: data for key, data in from_json("platform.json").items() if key.startswith(prefix)}


async def test_the_platform_answers_first_lines_and_refusals_as_it_did() -> None:
    answers = await run_in_new_folder(platform_answers)
    assert answers == {key: from_json("platform.json")[key] for key in answers}
    recorded = {*recorded_platform("first-line"), *recorded_platform("answer")} - {"first-line.id-in-use"}
    assert set(answers) == recorded | {"turned-away"}


async def test_an_id_in_use_and_early_input_are_answered_as_they_were() -> None:
    answers = await run_in_new_folder(send_duplicate_id_and_early_input)
    assert answers == {key: from_json("platform.json")[key] for key in answers}


@pytest.mark.parametrize("name", ENDPOINTS)
async def test_an_endpoints_answer_is_forwarded_as_it_was(name: str) -> None:
    recorded = from_json("platform.json")
    exchange = await run_in_new_folder(platform_exchange, respond_with(ENDPOINTS[name]))
    assert exchange.received == recorded[f"exchange.{name}"]
    assert exchange.forwarded == recorded[f"forwarded.{name}"]


async def test_an_established_client_is_asked_to_move_as_it_was() -> None:
    assert await run_in_new_folder(platform_move) == from_json("platform.json")["exchange.moved"]


async def test_xmpp_answers_and_stream_errors_are_as_they_were() -> None:
    assert await make_xmpp() == from_json("xmpp.json")


@pytest.mark.parametrize(("side", "name"), CONVERSATIONS)
async def test_xmpp_conversations_are_as_they_were(side: str, name: str) -> None:
    assert await converse(name, side) == (FIXTURES / f"xmpp-{side}-{name}.transcript").read_bytes()


def test_stanzas_are_passed_on_as_they_stood() -> None:
    stanzas = [b"<message  to='a'><body>&lt;\xe1\xba\xbf</body></message>", b"<iq id='1' type='get' />"]
    assert stanzas_of(HEADER + stanzas[0] + b" \n" + stanzas[1]) == stanzas
