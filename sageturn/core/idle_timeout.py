"""Whether a standing connection's endpoint has vanished, told by what passes on it. Pure: times come in."""

from __future__ import annotations


class IdleTimeout:
    """One standing connection. Times are seconds of one clock that never goes back."""

    def __init__(self, now_s: float, patience_s: float, every_s: float = 0.0) -> None:
        """``patience_s``: how long the endpoint may leave a line unanswered. ``every_s``: where the wire's
        clients send a line this often, one that comes sooner after the endpoint's last word may wait so
        much longer: then all are let go equally long after that word, whatever the client's own beat.
        """
        self._patience_s, self._every_s = patience_s, every_s
        self._asked_s: float | None = None  # when the oldest line without an answer was passed on
        self.last_endpoint_data_s = now_s  # when the endpoint's latest word came

    def on_request_forwarded(self, now_s: float) -> None:
        if self._asked_s is None:
            self._asked_s = now_s

    def on_endpoint_data(self, now_s: float) -> None:
        self.last_endpoint_data_s, self._asked_s = now_s, None

    def remaining_s(self, now_s: float) -> float:
        """How long until the endpoint can be mute at the earliest; 0 or less once it is."""
        if self._asked_s is None:
            return self._patience_s
        return max(self._asked_s, self.last_endpoint_data_s + self._every_s) + self._patience_s - now_s
