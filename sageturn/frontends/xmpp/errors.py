"""Every refusal and failure as a defined stream error (RFC 6120, 4.9.3), and what an endpoint's mean."""

from __future__ import annotations

from xml.sax.saxutils import escape

from sageturn.core.close_reason import CloseReason
from sageturn.core.messages import FinalResponse

STREAMS = "http://etherx.jabber.org/streams"
CONDITIONS = "urn:ietf:params:xml:ns:xmpp-streams"
OURS = "urn:sageturn:relay:0"
CLOSE = b"</stream:stream>"


class StreamFault(Exception):
    """The stream cannot go on; ``condition`` is the defined condition that says why."""

    def __init__(self, condition: str, text: str = "") -> None:
        super().__init__(f"{condition}: {text}" if text else condition)
        self.condition, self.text = condition, text


def error_xml(condition: str, text: str = "", extra: str = "") -> bytes:
    said = f"<text xmlns='{CONDITIONS}' xml:lang='en'>{escape(text)}</text>" if text else ""
    return f"<stream:error><{condition} xmlns='{CONDITIONS}'/>{said}{extra}</stream:error>".encode()


def answer_xml(answer: FinalResponse) -> bytes:
    """A fail-fast refusal tells when to come again; it and a failure are told apart by the condition."""
    if answer.rejected and answer.reason == "shutdown":
        return error_xml("system-shutdown", "come again", _retry(answer.retry_after_ms))
    if answer.rejected:
        return error_xml("resource-constraint", "come again later", _retry(answer.retry_after_ms))
    if answer.reason == "wait for the answer":
        return error_xml("policy-violation", answer.reason)
    if answer.reason == "internal":
        return error_xml("internal-server-error", "the relay failed")
    return error_xml("remote-connection-failed", "no endpoint could be reached")


def _retry(after_ms: float) -> str:
    return f"<retry xmlns='{OURS}' after-ms='{round(after_ms)}'/>" if after_ms >= 1 else ""


def move_xml() -> bytes:
    """The client is to come again at once: the session was sound, only its place is given up."""
    return error_xml("reset", "come again", f"<move xmlns='{OURS}'/>")


# An endpoint's stream error: before the session stands, and after.
BEFORE = {
    "resource-constraint": CloseReason.BUSY,
    "system-shutdown": CloseReason.BUSY,
    "see-other-host": CloseReason.BUSY,
}
AFTER = {
    "system-shutdown": CloseReason.SENT_AWAY,
    "see-other-host": CloseReason.SENT_AWAY,
    "reset": CloseReason.SENT_AWAY,
}
