"""Errors of XMPP streams (RFC 6120, 4.9.3): exceptions, encoders, and close reasons for endpoints' errors."""

from __future__ import annotations

from xml.etree.ElementTree import Element
from xml.sax.saxutils import escape

from sageturn.core.close_reason import CloseReason
from sageturn.core.messages import FinalResponse, ResponseReason
from sageturn.frontends.errors import FrontendError
from sageturn.frontends.xmpp.namespaces import RELAY_NS, STREAM_ERRORS_NS
from sageturn.frontends.xmpp.protocol import SaslCondition, StreamCondition


class StreamError(FrontendError):
    """Error that ends a stream; ``condition`` is the defined condition for the peer."""

    def __init__(self, condition: StreamCondition, text: str = "") -> None:
        super().__init__(f"{condition}: {text}" if text else condition)
        self.condition = condition
        self.text = text


class SaslError(FrontendError):
    """Failure of a client's login attempt; ``condition`` is the defined condition for the client."""

    def __init__(self, condition: SaslCondition) -> None:
        super().__init__(condition)
        self.condition = condition


class EndpointLoginRejectedError(FrontendError):
    """Failure to establish a session at an endpoint; ``close_reason`` is the result of the attempt."""

    def __init__(self, close_reason: CloseReason) -> None:
        super().__init__(close_reason.name)
        self.close_reason = close_reason


def encode_stream_error(condition: str, text: str = "", application_element: str = "") -> bytes:
    """Encode a stream error; ``application_element`` is an encoded element of the relay's own namespace."""
    text_element = f"<text xmlns='{STREAM_ERRORS_NS}' xml:lang='en'>{escape(text)}</text>" if text else ""
    error = f"<{condition} xmlns='{STREAM_ERRORS_NS}'/>{text_element}{application_element}"
    return f"<stream:error>{error}</stream:error>".encode()


def encode_final_response(response: FinalResponse) -> bytes:
    """Encode the stream error that ends a request.

    Its condition says whether the request was rejected, so that the client may retry it, or has failed.
    """
    retry_element = _encode_retry_after(response.retry_after_ms)
    if response.rejected and response.reason == ResponseReason.SHUTDOWN:
        return encode_stream_error(StreamCondition.SYSTEM_SHUTDOWN, "come again", retry_element)
    if response.rejected:
        return encode_stream_error(StreamCondition.RESOURCE_CONSTRAINT, "come again later", retry_element)
    if response.reason == ResponseReason.CLIENT_FAULT:
        return encode_stream_error(StreamCondition.POLICY_VIOLATION, response.reason)
    if response.reason == ResponseReason.INTERNAL:
        return encode_stream_error(StreamCondition.INTERNAL_SERVER_ERROR, "the relay failed")
    return encode_stream_error(StreamCondition.REMOTE_CONNECTION_FAILED, "no endpoint could be reached")


def _encode_retry_after(retry_after_ms: float) -> str:
    if retry_after_ms < 1:
        return ""
    return f"<retry xmlns='{RELAY_NS}' after-ms='{round(retry_after_ms)}'/>"


def encode_move() -> bytes:
    """Encode the stream error that asks a client to reconnect at once, because its session is migrated."""
    return encode_stream_error(StreamCondition.RESET, "come again", f"<move xmlns='{RELAY_NS}'/>")


def stream_error_condition(element: Element) -> str:
    """Return the defined condition of a received stream error; ``undefined-condition`` if it has none."""
    for child in element:
        namespace, _, name = child.tag[1:].rpartition("}")
        if namespace == STREAM_ERRORS_NS and name != "text":
            return name
    return StreamCondition.UNDEFINED_CONDITION


# Close reasons by the condition of an endpoint's stream error. The bind is the request: until its first byte
# is written it has surely not been executed, whatever ends the stream. Afterwards no stream error proves it,
# since a stream error concerns the stream and not what was begun on it (RFC 6120, 4.9).
CLOSE_REASONS_BEFORE_BIND: dict[str, CloseReason] = {
    StreamCondition.RESOURCE_CONSTRAINT: CloseReason.BUSY,
    StreamCondition.SYSTEM_SHUTDOWN: CloseReason.BUSY,
    StreamCondition.SEE_OTHER_HOST: CloseReason.BUSY,
}
CLOSE_REASONS_AFTER_BIND: dict[str, CloseReason] = {
    StreamCondition.SYSTEM_SHUTDOWN: CloseReason.SENT_AWAY,
    StreamCondition.SEE_OTHER_HOST: CloseReason.SENT_AWAY,
    StreamCondition.RESET: CloseReason.SENT_AWAY,
}
