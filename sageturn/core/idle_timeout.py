"""The idle timeout of an established connection's endpoint. It reads no clock: times are arguments."""

from __future__ import annotations


class IdleTimeout:
    """Timeout that expires when the endpoint of an established connection has been unresponsive for too long.

    Times are seconds of one monotonic clock.
    """

    __slots__ = ("_line_interval_s", "_timeout_s", "_unanswered_since_s", "last_endpoint_data_s")

    def __init__(self, now_s: float, timeout_s: float, line_interval_s: float = 0.0) -> None:
        """Create the timeout of a connection whose endpoint has just sent data.

        Args:
            now_s: current time.
            timeout_s: time for which the endpoint may leave a forwarded line unanswered.
            line_interval_s: interval at which clients of the protocol send lines; 0 if there is no fixed one.
                The timeout of a line that is forwarded sooner than this after the endpoint's latest data
                starts only at the end of that interval. So if an endpoint vanishes, all its connections time
                out equally long after its latest data.
        """
        self._timeout_s = timeout_s
        self._line_interval_s = line_interval_s
        self._unanswered_since_s: float | None = None  # when the oldest unanswered line was forwarded
        self.last_endpoint_data_s = now_s

    def on_client_line_forwarded(self, now_s: float) -> None:
        """Record that a line of the client was forwarded; the oldest unanswered one starts the timeout."""
        if self._unanswered_since_s is None:
            self._unanswered_since_s = now_s

    def on_endpoint_data(self, now_s: float) -> None:
        """Record that the endpoint sent data, which answers all lines forwarded so far."""
        self.last_endpoint_data_s = now_s
        self._unanswered_since_s = None

    def remaining_s(self, now_s: float) -> float:
        """Return the seconds until the timeout can expire at the earliest; 0 or less once it has expired."""
        if self._unanswered_since_s is None:
            return self._timeout_s
        earliest_s = self.last_endpoint_data_s + self._line_interval_s
        return max(self._unanswered_since_s, earliest_s) + self._timeout_s - now_s
