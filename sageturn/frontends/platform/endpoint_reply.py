"""The words with which an endpoint answers a request or ends a connection."""

from __future__ import annotations

import re

from sageturn.core.close_reason import CloseReason
from sageturn.core.connection_record import ConnectionRecord
from sageturn.core.context import RelayContext
from sageturn.decision.load_reports import MAX_REPORT_BYTES, read_report

MAX_LAST_LINE_BYTES = MAX_REPORT_BYTES + 16  # a word and a load report

# Strict: a client is served with nothing but what an endpoint made for it, and a garbled line is not that.
_ESTABLISHED = re.compile(rb"UP [ -~]+\r\n")
_REPLY = re.compile(rb"[A-Z]+( [ -~]*)?\r\n")
_FIRST_REPLIES = {
    b"BUSY": CloseReason.BUSY,
    b"ERR": CloseReason.ERROR,
    b"BYE": CloseReason.SERVED,
    b"MOVE": CloseReason.SENT_AWAY,
}
_LAST_REPLIES = {b"BYE": CloseReason.SERVED, b"MOVE": CloseReason.SENT_AWAY}


class EndpointReplyParser:
    """Tells what an endpoint's first and last lines mean, and keeps the load reports in them."""

    def __init__(self, shared: RelayContext, record: ConnectionRecord) -> None:
        self._shared = shared
        self._record = record

    def first_reply(self, buffer: bytearray, end: int, filled: int) -> CloseReason | None:
        """None if the connection is established. The reply ends at ``end``; ``filled`` bytes were read."""
        if _ESTABLISHED.fullmatch(buffer, 0, end):
            return None
        if not _REPLY.fullmatch(buffer, 0, filled):
            return CloseReason.GARBLED  # garbled, or more came after it: it proves nothing
        return self._parse(bytes(buffer[:end]), _FIRST_REPLIES, CloseReason.GARBLED)

    def last_line(self, line: bytes) -> CloseReason:
        """Why an established connection was closed by its endpoint, by the last line that it sent."""
        return self._parse(line, _LAST_REPLIES, CloseReason.ENDED)

    def _parse(self, line: bytes, words: dict[bytes, CloseReason], other: CloseReason) -> CloseReason:
        word, *rest = line.split(None, 1) or [b""]
        settings = self._shared.balancer_actor.settings
        if word in words and rest and settings.reports == "answers":
            self._record.load_report = read_report(
                rest[0], settings.report_fields, self._shared.invalid_report_values
            )
        return words.get(word, other)
