"""Time limits of the platform's protocol, in seconds."""

from __future__ import annotations

REQUEST_LINE_TIMEOUT_S = 2.0  # limit from accepting a client to its request line; an answer is due in 3 s
CLIENT_LINE_INTERVAL_S = 2.0  # interval between two lines of a client
MAX_CLIENT_SILENCE_S = 7.0  # limit from the endpoint's last line to the client's migration
MIGRATION_MARGIN_S = 0.6  # time for MOVE to be written and to arrive while the CPU is busy
# Time for which an endpoint may leave a client's line unanswered. ``MAX_CLIENT_SILENCE_S`` counts from the
# endpoint's last line, which the client's line may follow by one interval.
ENDPOINT_IDLE_TIMEOUT_S = MAX_CLIENT_SILENCE_S - CLIENT_LINE_INTERVAL_S - MIGRATION_MARGIN_S
LAST_LINE_TIMEOUT_S = 0.5  # time for which the other side is still read after one side has closed
MOVE_TIMEOUT_S = 0.4  # limit for writing MOVE; shorter than the forced drain of a graceful shutdown
