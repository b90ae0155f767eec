"""Each frontend sends to clients and endpoints the same bytes as revision 6e0cdec did.

``platform.json``, ``xmpp.json`` and ``xmpp-*.transcript`` hold the bytes. A transcript has a line for each
write or read: ``>`` marks what the relay sent, ``<`` what it received.
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


def encode_recording(recorded: dict[str, bytes]) -> bytes:
    """Encode bytes as Latin-1 text, which has one character for each byte."""
    lines = {name: data.decode("latin-1") for name, data in recorded.items()}
    return json.dumps(lines, indent=1, sort_keys=True).encode() + b"\n"


def load_recording(name: str) -> dict[str, bytes]:
    lines = json.loads((FIXTURES / name).read_bytes())
    return {key: text.encode("latin-1") for key, text in lines.items()}


FINAL_RESPONSES = {
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

# ---------------------------------------------------------------- the platform's frontend

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
OPEN_LINE = b"OPEN id-1 key-1 c=c,t=t,d=2000,g=x9,extra=y\r\n"
ENDPOINT_OUTPUTS: dict[str, bytes] = {
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
    """Send ``lines``, each after a response to the one before, and return all that is received."""
    reader, writer = await send_request(address, lines[0])
    received = b""
    for line in lines[1:]:
        received += await reader.readline()
        writer.write(line)
    received += await reader.read()
    writer.close()
    return received


async def record_bytes_sent_by(send_response: Callable[[socket.socket], Awaitable[None]]) -> bytes:
    relay_socket, client_socket = socket.socketpair()
    relay_socket.setblocking(False)
    with client_socket:
        task = asyncio.ensure_future(send_response(relay_socket))
        reader, writer = await asyncio.open_connection(sock=client_socket)
        received = await reader.read()
        writer.close()
        await task
        return received


async def record_platform_answers(folder: Path) -> dict[str, bytes]:
    answers = {"turned-away": platform_frontend.PlatformFrontend.rejection}
    for name, answer in FINAL_RESPONSES.items():
        answers[f"answer.{name}"] = await record_bytes_sent_by(partial(send_final_response, response=answer))
    async with running_relay(folder, never_respond) as (relay, _):
        address = relay.listener.address
        for name, line in FIRST_LINES.items():
            next_lines = (b"nonsense\r\n",) if line == b"PING\r\n" else ()
            answers[f"first-line.{name}"] = await exchange_lines(address, line, *next_lines)
        answers["first-line.late"] = await let_request_line_time_out(address)
    return answers


class Exchange(NamedTuple):
    """Data that the client received, and the request line that the endpoint received, with ``d`` masked."""

    received: bytes
    forwarded: bytes


async def record_platform_exchange(folder: Path, script: EndpointScript) -> Exchange:
    async with running_relay(folder, script) as (relay, (endpoint,)):
        received = await exchange_lines(relay.listener.address, OPEN_LINE)
        before, _, rest = endpoint.request_lines[0].partition(b"d=")
        digits, comma, after = rest.partition(b",")
        assert digits.isdigit() and 0 < int(digits) <= 2000
        return Exchange(received, before + b"d=#" + comma + after)


async def record_platform_move(folder: Path) -> bytes:
    """Return what an established client receives when the relay migrates it."""

    async def stay_open(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, line: bytes) -> None:
        writer.write(b"UP r1\r\n")
        await reader.read()

    async with running_relay(folder, stay_open) as (relay, _):
        reader, writer = await send_request(relay.listener.address, OPEN_LINE)
        received = await reader.readline()
        (lifecycle,) = relay.request_registry
        relay.balancer_actor.migrate_connection(lifecycle.id)
        received += await reader.read()
        writer.close()
        return received


async def send_duplicate_id_and_early_input(folder: Path) -> dict[str, bytes]:
    async with running_relay(folder, never_respond) as (relay, _):
        address = relay.listener.address
        reader, writer = await send_request(address, OPEN_LINE)
        while not len(relay.request_registry):
            await asyncio.sleep(0)
        duplicate_id_response = await exchange_lines(address, OPEN_LINE)
        writer.write(b"M" * 5000)
        early_input_response = await reader.read()
        writer.close()
        return {
            "first-line.id-in-use": duplicate_id_response,
            "exchange.spoke-before-the-answer": early_input_response,
        }


async def run_in_new_folder(scenario: Callable[..., Awaitable[Result]], *arguments: object) -> Result:
    """Run ``scenario`` in a new folder, and return its result."""
    with tempfile.TemporaryDirectory() as folder:
        return await scenario(Path(folder), *arguments)


async def record_platform() -> dict[str, bytes]:
    recorded = await run_in_new_folder(record_platform_answers) | await run_in_new_folder(
        send_duplicate_id_and_early_input
    )
    for name, text in ENDPOINT_OUTPUTS.items():
        exchange = await run_in_new_folder(record_platform_exchange, respond_with(text))
        recorded[f"exchange.{name}"] = exchange.received
        recorded[f"forwarded.{name}"] = exchange.forwarded
    recorded["exchange.moved"] = await run_in_new_folder(record_platform_move)
    return recorded


# ---------------------------------------------------------------- XMPP: single responses

STREAM_ERRORS = [
    ("connection-timeout", ""),
    ("policy-violation", "too <large> & \"odd\" 'ế'"),
    ("not-well-formed", "mismatched tag"),
]
CLIENT_HEADER = (
    b"<?xml version='1.0'?><stream:stream xmlns='jabber:client' "
    b"xmlns:stream='http://etherx.jabber.org/streams' version='1.0' to='guides.example'>"
)
BAD_STREAMS = {
    "not-well-formed": CLIENT_HEADER + b"<a></b>",
    "unbound-prefix": CLIENT_HEADER + b"<x:a/>",
    "foreign-prefix": CLIENT_HEADER.replace(b" to=", b" xmlns:q='urn:q' to="),
    "wrong-namespace": b"<stream xmlns='urn:other'>",
    "comment": CLIENT_HEADER + b"<!-- c -->",
    "doctype": b"<!DOCTYPE a>" + CLIENT_HEADER,
    "instruction": CLIENT_HEADER + b"<?pi x?>",
    "encoding": b"<?xml version='1.0' encoding='ISO-8859-1'?>",
    "text-between": CLIENT_HEADER + b"words",
    "deep": CLIENT_HEADER + b"<a>" * 70,
    "large": CLIENT_HEADER + b"<a>" + b"x" * 70000,
    "large-header": b"<stream:stream a='" + b"x" * 5000,
}


def encode_error_of_stream(stream: bytes) -> bytes:
    """Return the stream error with which the relay answers an invalid stream."""
    parser = StreamParser()
    try:
        parser.feed(stream)
    except StreamError as error:
        return encode_stream_error(error.condition, error.text)
    raise AssertionError("the stream was accepted")


def parse_stanzas(stream: bytes) -> list[bytes]:
    parser = StreamParser()
    for position in range(len(stream)):
        parser.feed(stream[position : position + 1])
    return [event.raw for event in parser.events if hasattr(event, "raw")]


def send_encoded_bind_result(sock: Any, iq_id: str, jid: str) -> Awaitable[None]:
    return XmppSession(sock).send(encode_bind_result(iq_id, jid))


async def record_xmpp() -> dict[str, bytes]:
    recorded = {"turned-away": REJECTION, "move": encode_move()}
    recorded |= {f"answer.{name}": encode_final_response(answer) for name, answer in FINAL_RESPONSES.items()}
    recorded |= {f"fault.{number}": encode_stream_error(*error) for number, error in enumerate(STREAM_ERRORS)}
    recorded |= {f"stream.{name}": encode_error_of_stream(stream) for name, stream in BAD_STREAMS.items()}
    channel = ScriptedChannel()
    await send_encoded_bind_result(channel, "b<1>'", "lan@guides.example/a&b")
    recorded["bound"] = channel.sent()
    return recorded


# ---------------------------------------------------------------- XMPP: conversations

SASL_XMLNS = b"xmlns='urn:ietf:params:xml:ns:xmpp-sasl'"
SERVER_HEADER = CLIENT_HEADER.replace(b" to=", b" from=")
ACCOUNT_PASSWORD = "pw"
SALT = bytes(range(16))
# Data sent to the relay, or a function that makes it from the data that the relay has just sent.
ScriptedLine = bytes | Callable[[bytes], bytes]


class ScriptedChannel:
    """Channel without a socket: returns the peer's lines in turn, and records both directions."""

    def __init__(self, *lines: ScriptedLine, secure: bool = False) -> None:
        self.is_encrypted, self.sock = secure, None
        self._lines, self._last_sent = list(lines), b""
        self.transfers: list[tuple[bytes, bytes]] = []

    async def receive(self) -> bytes:
        if not self._lines:
            return b""
        line = self._lines.pop(0)
        data = line if isinstance(line, bytes) else line(self._last_sent)
        self.transfers.append((b"<", data))
        self._last_sent = b""
        return data

    def receive_available(self) -> bytes | None:
        return None

    async def send(self, data: bytes) -> None:
        self._last_sent += data
        self.transfers.append((b">", data))

    async def send_close(self) -> None:
        pass

    async def handshake(self) -> None:
        self.is_encrypted = True

    def sent(self) -> bytes:
        return b"".join(data for direction, data in self.transfers if direction == b">")

    def transcript(self) -> bytes:
        return b"".join(direction + b" " + data + b"\n" for direction, data in self.transfers)


def make_fixed_account_record() -> JsonObject:
    account_auth_info = ScramMechanism("SCRAM-SHA-256").make_auth_info(
        ACCOUNT_PASSWORD, iteration_count=4096, salt=SALT
    )
    salt, stored_key, server_key, iterations = account_auth_info
    return {
        "class": "c",
        "tenant": "t",
        "group": "",
        "salt": salt.hex(),
        "stored_key": stored_key.hex(),
        "server_key": server_key.hex(),
        "iterations": iterations,
    }


@contextmanager
def fixed_randomness() -> Iterator[None]:
    with (
        mock.patch.multiple(secrets, token_hex=lambda size=8: "5a" * size),
        mock.patch.object(Nonce, "create", lambda: Nonce("relay-nonce")),
    ):
        yield


async def log_in_client(channel: ScriptedChannel, tls: bool) -> str:
    """Log a client in. Return a summary of its bind request, or the error that ended its stream."""
    endpoint = EndpointOptions("guides.example", "relay", "relay-pw", None)
    context: Any = object() if tls else None
    options = XmppOptions(("127.0.0.1", 0), "guides.example", context, 2000.0, endpoint, 0)
    session = XmppSession(channel)  # type: ignore[arg-type]
    accounts = Accounts({ACCOUNT_KEY_PREFIX + "lan": make_fixed_account_record()})
    login = client_login.ClientLogin(session, options, accounts)
    with mock.patch.object(client_login, "TlsChannel", lambda *args, **kwargs: channel):
        try:
            await login.exchange_headers()
            request = await login.run()
            return f"{request.account.name} {request.iq_id} {request.resource}"
        except StreamError as error:
            await session.close_with_error(error, options.domain)
            return str(error)


async def log_in_at_endpoint(channel: ScriptedChannel, tls: bool) -> str:
    """Log in at an endpoint. Return the bound JID, or the name of the close reason."""
    context: Any = object() if tls else None
    options = EndpointOptions("guides.example", "relay", "relay-pw", context)
    account = Accounts({ACCOUNT_KEY_PREFIX + "lan": make_fixed_account_record()}).find("lan")
    assert account is not None
    request = client_login.BindRequest(account, "b1", "desk<1>")
    session = XmppSession(channel)  # type: ignore[arg-type]
    login = endpoint_login.EndpointLogin(session, options, request, lambda: None)
    with mock.patch.object(endpoint_login, "TlsChannel", lambda *args, **kwargs: channel):
        try:
            return await login.run()
        except EndpointLoginRejectedError as login_error:
            return login_error.close_reason.name


def encode_base64(text: str) -> bytes:
    return base64.b64encode(text.encode())


def decode_element(data: bytes) -> str:
    """Return the text of the last element in ``data``, decoded from base64."""
    return base64.b64decode(data.rpartition(b"</")[0].rpartition(b">")[2]).decode()


class ScriptedScram:
    """Client's and server's side of a SCRAM exchange, with fixed nonces."""

    def __init__(self) -> None:
        self._client_side = ScramClient(["SCRAM-SHA-256"], "lan", ACCOUNT_PASSWORD, c_nonce="client-nonce")
        mechanism = ScramMechanism("SCRAM-SHA-256")
        relay_auth_info = mechanism.make_auth_info("relay-pw", iteration_count=4096, salt=SALT)
        self._server_side = mechanism.make_server(lambda name: relay_auth_info, s_nonce="server-nonce")

    def auth(self, _: bytes) -> bytes:
        first = encode_base64(self._client_side.get_client_first())
        return b"<auth %s mechanism='SCRAM-SHA-256'>%s</auth>" % (SASL_XMLNS, first)

    def response(self, element: bytes) -> bytes:
        self._client_side.set_server_first(decode_element(element))
        return b"<response %s>%s</response>" % (
            SASL_XMLNS,
            encode_base64(self._client_side.get_client_final()),
        )

    def challenge(self, element: bytes) -> bytes:
        self._server_side.set_client_first(decode_element(element))
        return b"<challenge %s>%s</challenge>" % (
            SASL_XMLNS,
            encode_base64(self._server_side.get_server_first()),
        )

    def success(self, element: bytes) -> bytes:
        self._server_side.set_client_final(decode_element(element))
        return b"<success %s>%s</success>" % (SASL_XMLNS, encode_base64(self._server_side.get_server_final()))


STARTTLS = b"<starttls xmlns='urn:ietf:params:xml:ns:xmpp-tls'/>"
BIND_ELEMENT = b"<bind xmlns='urn:ietf:params:xml:ns:xmpp-bind'>%s</bind>"
BIND_REQUEST = b"<iq type='set' id='b1'>" + BIND_ELEMENT % b"<resource>desk</resource>" + b"</iq>"
BIND_RESULT = (
    b"<iq type='result' id='bind'>" + BIND_ELEMENT % b"<jid>lan@guides.example/desk</jid>" + b"</iq>"
)
NO_CAPACITY = b"<iq type='error' id='bind'><error type='wait'><resource-constraint/></error></iq>"
BUSY_STREAM = encode_stream_error("resource-constraint")


def encode_plain_auth(text: str) -> bytes:
    return b"<auth %s mechanism='PLAIN'>%s</auth>" % (SASL_XMLNS, encode_base64(text))


def encode_features(content: bytes) -> bytes:
    return SERVER_HEADER + b"<stream:features>" + content + b"</stream:features>"


def encode_mechanisms(name: bytes) -> bytes:
    return encode_features(b"<mechanisms %s><mechanism>%s</mechanism></mechanisms>" % (SASL_XMLNS, name))


def client_scripts() -> dict[str, tuple[bool, Sequence[ScriptedLine]]]:
    """Return by name whether TLS is required, and what the client sends."""
    scram = ScriptedScram()
    bind_first_scram = ScriptedScram()
    wrong = encode_plain_auth("\0lan\0wrong")
    return {
        "scram": (False, [CLIENT_HEADER, scram.auth, scram.response, CLIENT_HEADER, BIND_REQUEST]),
        "plain-over-tls": (
            True,
            [
                CLIENT_HEADER,
                STARTTLS,
                CLIENT_HEADER,
                encode_plain_auth("\0lan\0pw"),
                CLIENT_HEADER,
                BIND_REQUEST,
            ],
        ),
        "no-tls": (True, [CLIENT_HEADER, b"<auth/>"]),
        "wrong-password": (True, [CLIENT_HEADER, STARTTLS, CLIENT_HEADER, wrong, wrong, wrong]),
        "sasl-failures": (
            True,
            [
                CLIENT_HEADER,
                STARTTLS,
                CLIENT_HEADER,
                encode_plain_auth("x"),
                encode_plain_auth("who@else\0lan\0pw"),
                encode_plain_auth("\0lan\0pw")[:-12] + b"</auth>",
            ],
        ),
        "mechanism": (
            False,
            [
                CLIENT_HEADER,
                encode_plain_auth("\0lan\0pw"),
                b"<auth %s mechanism='X'>*</auth>" % SASL_XMLNS,
                b"<message/>",
            ],
        ),
        "host": (False, [CLIENT_HEADER.replace(b"guides.example", b"other.example")]),
        "version": (False, [CLIENT_HEADER.replace(b"version='1.0' to", b"version='0.9' to")]),
        "bind-first": (
            False,
            [CLIENT_HEADER, bind_first_scram.auth, bind_first_scram.response, CLIENT_HEADER, b"<message/>"],
        ),
    }


def endpoint_scripts() -> dict[str, tuple[bool, Sequence[ScriptedLine]]]:
    """Return by name whether TLS is required, and what the endpoint sends."""
    scram = ScriptedScram()
    sasl, bind = encode_mechanisms(b"SCRAM-SHA-256"), encode_features(BIND_ELEMENT % b"")
    tls = [
        encode_features(STARTTLS),
        b"<proceed xmlns='urn:ietf:params:xml:ns:xmpp-tls'/>",
        encode_mechanisms(b"PLAIN"),
    ]
    success = b"<success %s/>" % SASL_XMLNS
    return {
        "scram": (False, [sasl, scram.challenge, scram.success, bind, BIND_RESULT]),
        "plain-over-tls": (True, [*tls, success, bind, BIND_RESULT]),
        "no-room": (True, [*tls, success, bind, NO_CAPACITY]),
        "busy": (False, [SERVER_HEADER + BUSY_STREAM]),
        "lost-its-tls": (True, [sasl]),
        "no-mechanism": (False, [encode_mechanisms(b"X")]),
        "garbled": (False, [SERVER_HEADER + b"</wrong>"]),
    }


async def run_conversation(name: str, side: str) -> bytes:
    scripts, run = (
        (client_scripts(), log_in_client) if side == "client" else (endpoint_scripts(), log_in_at_endpoint)
    )
    tls, lines = scripts[name]
    channel = ScriptedChannel(*lines)
    with fixed_randomness():
        result = await run(channel, tls)
    return channel.transcript() + b"= " + result.encode() + b"\n"


CONVERSATIONS = [("client", name) for name in client_scripts()]
CONVERSATIONS += [("endpoint", name) for name in endpoint_scripts()]


async def produce_fixtures() -> dict[str, bytes]:
    files = {
        "platform.json": encode_recording(await record_platform()),
        "xmpp.json": encode_recording(await record_xmpp()),
    }
    for side, name in CONVERSATIONS:
        files[f"xmpp-{side}-{name}.transcript"] = await run_conversation(name, side)
    return files


# ---------------------------------------------------------------- tests


def load_platform_recording(prefix: str) -> dict[str, bytes]:
    return {key: data for key, data in load_recording("platform.json").items() if key.startswith(prefix)}


async def test_the_platform_answers_first_lines_and_refusals_as_it_did() -> None:
    answers = await run_in_new_folder(record_platform_answers)
    assert answers == {key: load_recording("platform.json")[key] for key in answers}
    recorded = {*load_platform_recording("first-line"), *load_platform_recording("answer")} - {
        "first-line.id-in-use"
    }
    assert set(answers) == recorded | {"turned-away"}


async def test_an_id_in_use_and_early_input_are_answered_as_they_were() -> None:
    answers = await run_in_new_folder(send_duplicate_id_and_early_input)
    assert answers == {key: load_recording("platform.json")[key] for key in answers}


@pytest.mark.parametrize("name", ENDPOINT_OUTPUTS)
async def test_an_endpoints_answer_is_forwarded_as_it_was(name: str) -> None:
    recorded = load_recording("platform.json")
    exchange = await run_in_new_folder(record_platform_exchange, respond_with(ENDPOINT_OUTPUTS[name]))
    assert exchange.received == recorded[f"exchange.{name}"]
    assert exchange.forwarded == recorded[f"forwarded.{name}"]


async def test_established_client_is_migrated_with_the_same_bytes() -> None:
    assert await run_in_new_folder(record_platform_move) == load_recording("platform.json")["exchange.moved"]


async def test_xmpp_answers_and_stream_errors_are_as_they_were() -> None:
    assert await record_xmpp() == load_recording("xmpp.json")


@pytest.mark.parametrize(("side", "name"), CONVERSATIONS)
async def test_xmpp_conversations_are_as_they_were(side: str, name: str) -> None:
    assert await run_conversation(name, side) == (FIXTURES / f"xmpp-{side}-{name}.transcript").read_bytes()


def test_stanzas_are_forwarded_byte_for_byte() -> None:
    stanzas = [b"<message  to='a'><body>&lt;\xe1\xba\xbf</body></message>", b"<iq id='1' type='get' />"]
    assert parse_stanzas(CLIENT_HEADER + stanzas[0] + b" \n" + stanzas[1]) == stanzas
