"""Tests of the XMPP frontend, and that both frontends lead to the same placements and responses."""

from __future__ import annotations

import asyncio
import hashlib
import json
from pathlib import Path
from typing import NamedTuple

import pytest
from support.event_loop import until
from support.network_fakes import SETTINGS as SETTINGS_JSON
from support.network_fakes import encode_request_line, send_request
from support.relay_checks import Placement, record_placements
from support.xmpp_fakes import (
    SASL_NAMESPACE,
    STREAM_HEADER,
    TLS_NAMESPACE,
    SessionScript,
    XmppClient,
    XmppServerSession,
    echo_messages,
    encode_base64,
    reject_session,
)
from support.xmpp_relay import (
    CERTIFICATE_AUTHORITY,
    SERVER_CERTIFICATE,
    make_client_tls_context,
    make_server_tls_context,
    running_xmpp_relay,
    write_operator_file,
    xmpp_address,
)

from sageturn.config.errors import ConfigError
from sageturn.config.operator import read_operator_file
from sageturn.config.settings import read_settings
from sageturn.frontends.xmpp.accounts import ACCOUNT_KEY_PREFIX, make_account_record
from sageturn.frontends.xmpp.client_login import ClientLogin
from sageturn.net.admission import ProcessLimits
from sageturn.relay import Relay

SETTINGS = read_settings(SETTINGS_JSON)
MAX_COMPUTED_ITERATIONS = 65536  # more than a server with default settings demands


@pytest.mark.timeout(30)
async def test_session_is_established_over_tls_and_restarted_streams_are_one_request(tmp_path: Path) -> None:
    # TLS and SASL restart the stream, so it opens three times. Only the bind is a request, placed once.
    async with running_xmpp_relay(
        tmp_path, lambda server: echo_messages(server, make_server_tls_context()), tls=True
    ) as (relay, _):
        placements = record_placements(relay)
        client = await XmppClient.connect(xmpp_address(relay))
        await client.login(make_client_tls_context())
        assert placements == []
        assert await client.bind("desk") == "relay@guides.example/desk"
        message = "<message to='x' id=\"q>1\"><body>a &amp; b &lt; c</body><e a='>'/></message>"
        client.send(message[:20])
        await asyncio.sleep(0.02)
        client.send(message[20:])
        assert (await client.read_until("<message.*?</message>"))[0] == message  # byte for byte
        assert len(placements) == 1
        client.send("</stream:stream>")
        assert (await client.read_rest()).strip() == "</stream:stream>"


@pytest.mark.timeout(30)
async def test_plain_is_offered_under_tls_and_a_wrong_password_is_no_request(tmp_path: Path) -> None:
    async with running_xmpp_relay(tmp_path, echo_messages) as (relay, _):
        placements = record_placements(relay)
        client = await XmppClient.connect(xmpp_address(relay))
        await client.login(make_client_tls_context(), plain=True)
        assert (await client.bind()).endswith("lan/desk")
        for plain in (True, False):
            wrong = await XmppClient.connect(xmpp_address(relay))
            with pytest.raises((AssertionError, TimeoutError)):
                async with asyncio.timeout(1):
                    await wrong.login(make_client_tls_context(), password="nope", plain=plain)
            assert "<not-authorized/>" in wrong.unread
        assert len(placements) == 1


@pytest.mark.parametrize(
    ("first_data", "condition"),
    [
        ("<!DOCTYPE x [<!ENTITY a 'b'>]>" + STREAM_HEADER.format("to"), "restricted-xml"),
        (STREAM_HEADER.format("to") + "<a>&undefined;</a>", "not-well-formed"),
        (STREAM_HEADER.format("to") + "<!-- c -->", "restricted-xml"),
        (STREAM_HEADER.format("to") + "<?pi x?>", "restricted-xml"),
        (STREAM_HEADER.format("to") + "<a>" * 80, "policy-violation"),
        (STREAM_HEADER.format("to") + "<a b='" + "x" * 70000 + "'/>", "policy-violation"),
        (STREAM_HEADER.format("to") + "<x:a/>", "bad-namespace-prefix"),
        (STREAM_HEADER.format("to").replace("guides", "other"), "host-unknown"),
        ("<a/>", "invalid-namespace"),
        ("<?xml version='1.0' encoding='utf-16'?>" + STREAM_HEADER.format("to")[21:], "unsupported-encoding"),
        (STREAM_HEADER.format("to") + "<iq type='set' id='b'/>", "policy-violation"),
        ("\x00\x01", "not-well-formed"),
        ("", "connection-timeout"),
    ],
)
@pytest.mark.timeout(30)
async def test_invalid_stream_ends_with_its_defined_error(
    tmp_path: Path, first_data: str, condition: str
) -> None:
    async with running_xmpp_relay(tmp_path, echo_messages, negotiate_s=0.5) as (relay, (endpoint,)):
        client = await XmppClient.connect(xmpp_address(relay))
        client.send(first_data)
        received = await client.read_rest()
        assert f"<{condition} xmlns='urn:ietf:params:xml:ns:xmpp-streams'/>" in received
        assert received.endswith("</stream:stream>") and "<stream:stream" in received
        assert endpoint.request_lines == []


async def abort_connection(server: XmppServerSession) -> None:
    await server.accept()
    server.writer.transport.abort()


async def never_answer_bind(server: XmppServerSession) -> None:
    await server.read_rest()


@pytest.mark.parametrize("script", [reject_session, abort_connection, never_answer_bind])
@pytest.mark.timeout(30)
async def test_at_most_three_attempts_and_one_final_answer_with_its_condition(
    tmp_path: Path, script: SessionScript
) -> None:
    async with running_xmpp_relay(tmp_path, *[script] * 5, wait_ms=900) as (relay, endpoints):
        client = await XmppClient.connect(xmpp_address(relay))
        await client.login(make_client_tls_context())
        started_s = asyncio.get_running_loop().time()
        client.send_bind()
        received = await client.read_rest()
        assert asyncio.get_running_loop().time() - started_s < 1.6
        assert received.count("<stream:error>") == 1 and received.endswith("</stream:stream>")
        assert "resource-constraint" in received
        assert 1 <= sum(len(endpoint.request_lines) for endpoint in endpoints) <= 3


@pytest.mark.timeout(30)
async def test_a_drain_finishes_the_stanza_on_the_wire_and_ends_the_stream(tmp_path: Path) -> None:
    # Half of a stanza is at the relay when the drain begins. The client must get it complete, or not at all.
    async def send_stanza_slowly(server: XmppServerSession) -> None:
        server.send_bind_result(await server.accept())
        server.send("<message><body>half")
        await server.read_until("<presence/>")
        await asyncio.sleep(0.6)  # the drain begins meanwhile
        server.send(" and half</body></message>")
        await server.read_rest()

    async with running_xmpp_relay(tmp_path, send_stanza_slowly) as (relay, _):
        client = await XmppClient.connect(xmpp_address(relay))
        await client.login(make_client_tls_context())
        await client.bind()
        client.send("<presence/>")
        draining = asyncio.ensure_future(relay.request_registry.drain(relay.ingress))
        received = await client.read_rest()
        assert received.startswith("<message><body>half and half</body></message><stream:error><reset ")
        assert received.endswith("</stream:error></stream:stream>")
        client.writer.close()
        await draining
        assert len(relay.request_registry) == 0


@pytest.mark.timeout(30)
async def test_endpoint_that_disconnects_mid_stanza_leaves_a_well_formed_stream(tmp_path: Path) -> None:
    async def disconnect_mid_stanza(server: XmppServerSession) -> None:
        server.send_bind_result(await server.accept())
        server.send("<message><body>half")
        await server.writer.drain()

    async with running_xmpp_relay(tmp_path, disconnect_mid_stanza) as (relay, _):
        client = await XmppClient.connect(xmpp_address(relay))
        await client.login(make_client_tls_context())
        await client.bind()
        received = await client.read_rest()
        assert received.startswith("<stream:error>") and received.endswith("</stream:stream>")


OUTCOME_BY_RESPONSE = {
    "UP": "served",
    "<jid>": "served",
    "BUSY": "fail-fast",
    "<resource-constraint ": "fail-fast",
    "ERR": "failed",
    "<remote-connection-failed ": "failed",
}


class FrontendRun(NamedTuple):
    """Placements of a run's requests, and the outcome of each."""

    placements: list[Placement]
    outcomes: list[str]


async def send_to_both_frontends(folder: Path, frontends: str, scripts: list[SessionScript]) -> FrontendRun:
    """Send one request per letter of ``frontends``: over XMPP for ``x``, over the line protocol for ``p``.

    Clients stay connected until the end of the run, so that each placement depends on all earlier ones.
    """
    (folder / frontends).mkdir()
    async with running_xmpp_relay(folder / frontends, *scripts) as (relay, _):
        await until(lambda: relay.endpoint_registry.version == 2)
        placements = record_placements(relay)
        outcomes: list[str] = []
        clients: list[object] = []
        for frontend in frontends:
            if frontend == "x":
                client = await XmppClient.connect(xmpp_address(relay))
                await client.login(make_client_tls_context())
                client.send_bind()
                found = await client.read_until("<jid>|<resource-constraint |<remote-connection-failed ")
                outcomes.append(OUTCOME_BY_RESPONSE[found[0]])
                clients.append(client)
            else:
                reader, writer = await send_request(relay.listener.address, encode_request_line())
                outcomes.append(OUTCOME_BY_RESPONSE[(await reader.readline()).split()[0].decode()])
                clients.append(writer)
        return FrontendRun(placements, outcomes)


@pytest.mark.parametrize(
    ("acts", "expected"),
    [
        ([echo_messages, reject_session, echo_messages, echo_messages], {"served"}),
        ([reject_session] * 4, {"fail-fast"}),
    ],
)
@pytest.mark.timeout(30)
async def test_both_frontends_place_and_answer_alike(
    tmp_path: Path, acts: list[SessionScript], expected: set[str]
) -> None:
    # Both frontends use one core: the same traffic in either protocol, or mixed, must lead to the same
    # placements and responses.
    platform, mixed, xmpp = [
        await send_to_both_frontends(tmp_path, frontends, acts)
        for frontends in ("pppppppp", "pxpxxpxp", "xxxxxxxx")
    ]
    assert platform == mixed == xmpp
    assert len(platform.placements) >= 8 and set(platform.outcomes) == expected


def test_invalid_operator_file_names_its_key(tmp_path: Path) -> None:
    valid = json.loads(write_operator_file(tmp_path, True).read_text())
    for change, key in (
        ({"listen": 5}, "operator.xmpp.listen"),
        ({"lisden": 1}, "operator.xmpp.lisden"),
        ({"certificate": "no.pem"}, "operator.xmpp.certificate"),
        ({"endpoint": {"username": "r", "password_file": "gone"}}, "operator.xmpp.endpoint.password_file"),
    ):
        (tmp_path / "bad.json").write_text(json.dumps({"xmpp": {**valid["xmpp"], **change}}))
        with pytest.raises(ConfigError, match=key):
            read_operator_file(tmp_path / "bad.json", SETTINGS)


def test_shipped_operator_file_can_be_read(tmp_path: Path) -> None:
    # Operators copy this example: a key that the config package renames must be renamed in it too.
    shipped = Path(__file__).parents[2] / "deploy" / "xmpp.json"
    (tmp_path / "deploy").mkdir()
    (tmp_path / "var").mkdir()
    (tmp_path / "deploy" / "xmpp.json").write_text(shipped.read_text())
    SERVER_CERTIFICATE.cert_chain_pems[0].write_to_path(tmp_path / "var" / "xmpp.pem")
    SERVER_CERTIFICATE.private_key_pem.write_to_path(tmp_path / "var" / "xmpp.key")
    CERTIFICATE_AUTHORITY.cert_pem.write_to_path(tmp_path / "var" / "endpoint-ca.pem")
    for name in ("replica.secret", "endpoint.password"):
        (tmp_path / "var" / name).write_text("word\n")
    operator = read_operator_file(tmp_path / "deploy" / "xmpp.json", SETTINGS)
    assert operator.xmpp and operator.flows and operator.replication and operator.store_path
    assert operator.xmpp.tls is not None and operator.xmpp.endpoint.tls is not None


@pytest.mark.timeout(30)
async def test_idle_clients_and_incomplete_headers_are_closed_soon_and_evicted(tmp_path: Path) -> None:
    # Misbehaving clients are limited as on the platform's frontend, since admission is the same for both.
    async with running_xmpp_relay(tmp_path, echo_messages) as (relay, _):
        relay.admission.limits = ProcessLimits(sockets=96, memory_mb=192.0)
        started_s = asyncio.get_running_loop().time()
        incomplete = await XmppClient.connect(xmpp_address(relay))
        incomplete.send("<?xml version='1.0'?><stream:str")
        assert "<connection-timeout " in await incomplete.read_rest()
        assert asyncio.get_running_loop().time() - started_s < 2.9
        idle_clients = [await XmppClient.connect(xmpp_address(relay)) for _ in range(30)]
        assert "<resource-constraint " in await idle_clients[0].read_rest()
        for client in idle_clients:
            client.writer.close()


@pytest.fixture
def hashed_iterations(monkeypatch: pytest.MonkeyPatch) -> list[int]:
    """Return a list of each hash's iterations; at most ``MAX_COMPUTED_ITERATIONS`` of them are computed."""
    hashed: list[int] = []
    pbkdf2_hmac = hashlib.pbkdf2_hmac

    def record(name: str, password: bytes, salt: bytes, iterations: int) -> bytes:
        hashed.append(iterations)
        return pbkdf2_hmac(name, password, salt, min(iterations, MAX_COMPUTED_ITERATIONS))

    monkeypatch.setattr(hashlib, "pbkdf2_hmac", record)
    return hashed


@pytest.mark.parametrize("count", [2_000_000, 2**31, 10**30])
async def test_endpoint_that_demands_too_many_iterations_does_not_block_the_relay(
    tmp_path: Path, hashed_iterations: list[int], count: int
) -> None:
    # The endpoint chose the number of iterations: a million blocked the relay, and all its clients, for
    # 0.3 s. A number above 2**31 failed the request with an internal error, without a second attempt.
    async with running_xmpp_relay(
        tmp_path, lambda server: server.demand_iterations(count), echo_messages
    ) as (
        relay,
        endpoints,
    ):
        for number in range(8):
            client = await XmppClient.connect(xmpp_address(relay))
            await client.login(make_client_tls_context())
            assert (await client.bind(f"desk{number}")).endswith(f"/desk{number}"), count
        assert endpoints[0].request_lines  # at least one attempt was made there
    assert max(hashed_iterations) <= MAX_COMPUTED_ITERATIONS


async def open_login(relay: Relay) -> XmppClient:
    """Connect a client, and negotiate up to the point where the relay expects its credentials."""
    client = await XmppClient.connect(xmpp_address(relay))
    client.send(STREAM_HEADER.format("to"))
    await client.read_until("<starttls.*</stream:features>")
    client.send(f"<starttls xmlns='{TLS_NAMESPACE}'/>")
    await client.read_until("<proceed[^>]*/>")
    await client.start_tls(make_client_tls_context(), server=False)
    client.send(STREAM_HEADER.format("to"))
    await client.read_until("</stream:features>")
    return client


async def test_malformed_credentials_and_damaged_accounts_are_answered_with_a_failure(tmp_path: Path) -> None:
    # Text that is not ASCII, a password with a control character and a damaged account record raised uncaught
    # exceptions: the connection was closed without a stream error.
    credentials = (
        ("PLAIN", "\u00e9", "incorrect-encoding"),
        ("SCRAM-SHA-256", "\u00e9", "incorrect-encoding"),
        ("PLAIN", encode_base64("\0lan\0pw\x01"), "not-authorized"),
        ("PLAIN", encode_base64("\0damaged\0pw"), "not-authorized"),
        ("SCRAM-SHA-256", encode_base64("n,,n=damaged,r=abc"), "not-authorized"),
        ("SCRAM-SHA-256", encode_base64("n,,n=nobody,r=abc"), "not-authorized"),
    )

    async with running_xmpp_relay(tmp_path, echo_messages) as (relay, _):
        for damage in ({"salt": "zz"}, {"iterations": None}, {"class": 7}, {"salt": None}):
            record = make_account_record("pw", "c", "t", iterations=4096)
            relay.store.put(ACCOUNT_KEY_PREFIX + "damaged", {**record, **damage})
            for mechanism, text, condition in credentials:
                client = await open_login(relay)
                client.send(f"<auth xmlns='{SASL_NAMESPACE}' mechanism='{mechanism}'>{text}</auth>")
                await client.read_until(f"<failure[^>]*><{condition}/></failure>")
                client.writer.close()


async def test_unexpected_exception_in_a_login_is_answered(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def fail(login: ClientLogin) -> None:
        raise RuntimeError("a fault that no check foresaw")

    async with running_xmpp_relay(tmp_path, echo_messages) as (relay, _):
        with monkeypatch.context() as patched:
            patched.setattr(ClientLogin, "run", fail)
            client = await XmppClient.connect(xmpp_address(relay))
            client.send(STREAM_HEADER.format("to"))
            received = await client.read_rest()
        assert "<internal-server-error " in received and received.endswith("</stream:stream>")
        await until(lambda: relay.admission.connection_count == 0)
