"""Stream errors (RFC 6120, 4.9.3): those that the relay raises and sends, and what an endpoint's mean."""

from __future__ import annotations

from xml.etree.ElementTree import Element
from xml.sax.saxutils import escape

from sageturn.core.close_reason import CloseReason
from sageturn.core.messages import FinalResponse, ResponseReason
from sageturn.frontends.errors import FrontendError
from sageturn.frontends.xmpp.namespaces import RELAY_NS, STREAM_ERRORS_NS


class StreamError(FrontendError):
    """The stream cannot go on; ``condition`` is the defined condition that says why."""

    def __init__(self, condition: str, text: str = "") -> None:
        super().__init__(f"{condition}: {text}" if text else condition)
        self.condition = condition
        self.text = text


class SaslError(FrontendError):
    """A login attempt failed; the text is the defined condition (RFC 6120, 6.5)."""


class EndpointLoginRejectedError(FrontendError):
    """The endpoint did not accept the session; ``close_reason`` is what the core is told."""

    def __init__(self, close_reason: CloseReason) -> None:
        super().__init__(close_reason.name)
        self.close_reason = close_reason


def encode_stream_error(condition: str, text: str = "", extra: str = "") -> bytes:
    """``extra``: an element of an application's own namespace."""
    described = f"<text xmlns='{STREAM_ERRORS_NS}' xml:lang='en'>{escape(text)}</text>" if text else ""
    error = f"<{condition} xmlns='{STREAM_ERRORS_NS}'/>{described}{extra}"
    return f"<stream:error>{error}</stream:error>".encode()


def encode_final_response(response: FinalResponse) -> bytes:
    """The stream error for a request that has failed for good.

    Its condition tells a client that was rejected, and when to retry, from one whose request has failed.
    """
    retry = _encode_retry_after(response.retry_after_ms)
    if response.rejected and response.reason == ResponseReason.SHUTDOWN:
        return encode_stream_error("system-shutdown", "come again", retry)
    if response.rejected:
        return encode_stream_error("resource-constraint", "come again later", retry)
    if response.reason == ResponseReason.CLIENT_FAULT:
        return encode_stream_error("policy-violation", response.reason)
    if response.reason == ResponseReason.INTERNAL:
        return encode_stream_error("internal-server-error", "the relay failed")
    return encode_stream_error("remote-connection-failed", "no endpoint could be reached")


def _encode_retry_after(retry_after_ms: float) -> str:
    if retry_after_ms < 1:
        return ""
    return f"<retry xmlns='{RELAY_NS}' after-ms='{round(retry_after_ms)}'/>"


def encode_move() -> bytes:
    """Asks a client to connect anew at once: nothing is wrong with its session, which is migrated."""
    return encode_stream_error("reset", "come again", f"<move xmlns='{RELAY_NS}'/>")


def stream_error_condition(element: Element) -> str:
    """The defined condition of a stream error that was received."""
    for child in element:
        namespace, _, name = child.tag[1:].rpartition("}")
        if namespace == STREAM_ERRORS_NS and name != "text":
            return name
    return "undefined-condition"


# What an endpoint's stream error means before the session is established, and after.
CLOSE_REASONS_BEFORE_BIND = {
    "resource-constraint": CloseReason.BUSY,
    "system-shutdown": CloseReason.BUSY,
    "see-other-host": CloseReason.BUSY,
}
CLOSE_REASONS_AFTER_BIND = {
    "system-shutdown": CloseReason.SENT_AWAY,
    "see-other-host": CloseReason.SENT_AWAY,
    "reset": CloseReason.SENT_AWAY,
}
