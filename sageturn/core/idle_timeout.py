"""The idle timeout of an established connection's endpoint. Pure: times come in as arguments."""

from __future__ import annotations


class IdleTimeout:
    """Tells when the endpoint of one established connection has been silent for too long.

    Times are seconds of one monotonic clock.
    """

    __slots__ = ("_line_interval_s", "_timeout_s", "_unanswered_since_s", "last_endpoint_data_s")

    def __init__(self, now_s: float, timeout_s: float, line_interval_s: float = 0.0) -> None:
        """Begin with a connection whose endpoint has just sent something.

        Args:
            now_s: the time.
            timeout_s: how long the endpoint may leave a forwarded line unanswered.
            line_interval_s: how often clients of the protocol send a line; 0 if at no fixed interval. A line
                that is forwarded sooner than this after the endpoint's latest data may wait that much longer,
                so that all connections of an endpoint that vanished end equally long after its latest data.
        """
        self._timeout_s = timeout_s
        self._line_interval_s = line_interval_s
        self._unanswered_since_s: float | None = None  # when the oldest unanswered line was forwarded
        self.last_endpoint_data_s = now_s

    def on_request_forwarded(self, now_s: float) -> None:
        """Note that a line of the client was forwarded; the oldest unanswered one starts the timeout."""
        if self._unanswered_since_s is None:
            self._unanswered_since_s = now_s

    def on_endpoint_data(self, now_s: float) -> None:
        """Note that the endpoint sent something, which answers all lines before it."""
        self.last_endpoint_data_s = now_s
        self._unanswered_since_s = None

    def remaining_s(self, now_s: float) -> float:
        """Return how long the timeout takes to expire at the earliest; 0 or less once it has expired."""
        if self._unanswered_since_s is None:
            return self._timeout_s
        earliest_s = self.last_endpoint_data_s + self._line_interval_s
        return max(self._unanswered_since_s, earliest_s) + self._timeout_s - now_s
