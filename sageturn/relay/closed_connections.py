"""Counts closed connections, exports them as flows, and logs them."""

from __future__ import annotations

import logging
from collections import Counter

from sageturn.core.connection_record import ConnectionRecord
from sageturn.core.messages import FinalResponse
from sageturn.flows.exporter import FlowExporter

log = logging.getLogger(__name__)

NOT_PLACED = "not_placed"  # reason that is counted for a request that was never placed on an endpoint


class ClosedConnections:
    """Receiver of the records of closed connections, for all frontends."""

    def __init__(self, flow_exporter: FlowExporter | None = None) -> None:
        """``flow_exporter`` exports each record as a flow; None if flow export is disabled."""
        self.counts: Counter[str] = Counter()  # keyed by the close reason's name in lower case
        self._flow_exporter = flow_exporter

    def on_connection_closed(self, record: ConnectionRecord) -> None:
        """Count, export and log the record of a closed connection."""
        reason = record.close_reason.name.lower() if record.close_reason else NOT_PLACED
        self.counts[reason] += 1
        if self._flow_exporter is not None:
            self._flow_exporter.export(record)
        log.info(
            "connection closed frontend=%s request=%s class=%s endpoint=%s attempts=%d duration_s=%.3f"
            " reason=%s%s%s",
            record.frontend,
            record.log_id,
            record.request.class_name,
            record.endpoint or "-",
            record.attempts,
            (record.ended_ms - record.started_ms) / 1000.0,
            reason,
            f" endpoint_idle_s={record.endpoint_idle_s:.3f}" if record.was_established else "",
            _format_response(record.final_response),
        )


def _format_response(response: FinalResponse | None) -> str:
    if response is None:
        return ""
    kind = "rejected" if response.rejected else "failed"
    retry_after_ms = f"{response.retry_after_ms:.0f}"
    cause = f" cause={response.cause}" if response.cause else ""
    return f" response={kind} response_reason={str(response.reason)!r} retry_after_ms={retry_after_ms}{cause}"
