"""Parses the lines with which an endpoint answers a request or ends a connection."""

from __future__ import annotations

import re

from sageturn.core.close_reason import CloseReason
from sageturn.core.connection_record import ConnectionRecord
from sageturn.core.context import RelayContext
from sageturn.decision import ReportSource
from sageturn.decision.load_reports import MAX_REPORT_BYTES, read_report

MAX_LAST_LINE_BYTES = MAX_REPORT_BYTES + 16  # a reply's word and a load report

# Strict: a garbled line is not forwarded to a client as the endpoint's answer.
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
    """Maps an endpoint's first and last lines to close reasons, and records the load reports in them."""

    def __init__(self, context: RelayContext, record: ConnectionRecord) -> None:
        self._context = context
        self._record = record

    def first_reply(self, buffer: bytearray, end: int, filled: int) -> CloseReason | None:
        """Parse the first line, which ends at ``end`` in ``buffer``, of which ``filled`` bytes were read.

        Returns None if the connection is established.
        """
        if _ESTABLISHED.fullmatch(buffer, 0, end):
            return None
        if not _REPLY.fullmatch(buffer, 0, filled):
            return CloseReason.GARBLED  # or followed by more bytes than its line
        return self._parse(bytes(buffer[:end]), _FIRST_REPLIES, CloseReason.GARBLED)

    def last_line(self, line: bytes) -> CloseReason:
        """Return why the endpoint closed an established connection; ``line`` is the last that it sent."""
        return self._parse(line, _LAST_REPLIES, CloseReason.ENDED)

    def _parse(
        self, line: bytes, close_reasons: dict[bytes, CloseReason], default: CloseReason
    ) -> CloseReason:
        word, *report = line.split(None, 1) or [b""]
        settings = self._context.balancer_actor.settings
        if word in close_reasons and report and settings.reports == ReportSource.ANSWERS:
            self._record.load_report = read_report(
                report[0], settings.report_fields, self._context.invalid_report_values
            )
        return close_reasons.get(word, default)
