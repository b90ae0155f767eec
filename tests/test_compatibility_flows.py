"""IPFIX messages stay as revision 6e0cdec sent them, byte for byte."""

from __future__ import annotations

from pathlib import Path

from sageturn.flows.ipfix import Flow, flow_set, loss_set, message, templates

FIXTURES = Path(__file__).parent / "fixtures" / "flows"
NOW_S = 1_700_000_000
DOMAIN = 7


def make_flow(reason: int, application: str, user: str, octets: int) -> bytes:
    return Flow(
        start_ms=1_700_000_000_123,
        end_ms=1_700_000_009_456,
        source=("127.0.0.1", 40001),
        destination=("192.0.2.17", 65535),
        reason=reason,
        octets_up=octets,
        octets_down=octets * 3,
        application=application,
        user=user,
    ).encode()


def make_messages() -> dict[str, bytes]:
    flows = [
        make_flow(1, "platform/walk-in/mute", "tenant-1", 0),
        make_flow(3, "platform/walk-in/served", "tổ-1", 1),
        make_flow(4, "xmpp/guest/moved", "", 2**40),
        make_flow(5, "ế" * 100, "u" * 300, 2**62),
    ]
    return {
        "templates": message(templates(), NOW_S, 0, DOMAIN),
        "flows": message(flow_set(flows), NOW_S, 3, DOMAIN),
        "templates-and-flow": message(templates() + flow_set(flows[:1]), NOW_S, 2**32 - 1, 2**32 - 1),
        "sequence-wraps": message(flow_set(flows[:1]), NOW_S, 2**32 + 5, DOMAIN),
        "loss": message(loss_set(4242, 2**40 + 1), NOW_S, 9, DOMAIN),
    }


def produced() -> dict[str, bytes]:
    return {f"{name}.bin": data for name, data in make_messages().items()}


def test_messages_are_the_committed_bytes() -> None:
    made = produced()
    assert set(made) == {path.name for path in FIXTURES.glob("*.bin") if not path.name.startswith("exporter")}
    for name, data in made.items():
        assert data == (FIXTURES / name).read_bytes(), name


def test_the_committed_messages_tell_their_own_length() -> None:
    for path in FIXTURES.glob("*.bin"):
        data = path.read_bytes()
        assert int.from_bytes(data[2:4], "big") == len(data) <= 1400, path.name
