"""Time limits of the platform's protocol, in seconds."""

from __future__ import annotations

# From its acceptance until a client has sent its request, PINGs included. A usual client sends it as it
# connects; all others are owed an answer within 3 s, and the time it takes to accept them counts.
REQUEST_LINE_TIMEOUT_S = 2.0
# Clients send a line at this interval, and one that is sent nothing back for so long has to be migrated by
# then. Both count from the endpoint's last line: the client's next line, up to one interval later, must not
# start the wait anew.
CLIENT_LINE_INTERVAL_S = 2.0
MAX_CLIENT_SILENCE_S = 7.0
# MOVE has to be written and to travel, on a core that others may hold for a while.
MIGRATION_MARGIN_S = 0.6
# How long an endpoint may leave a client's line unanswered.
IDLE_TIMEOUT_S = MAX_CLIENT_SILENCE_S - CLIENT_LINE_INTERVAL_S - MIGRATION_MARGIN_S
# How long the other side is still read after one side has ended.
LAST_LINE_TIMEOUT_S = 0.5
# How long MOVE may take to be written. Its shutdown leaves the relay more than that at the end, and a line
# may be held back for a second.
MOVE_TIMEOUT_S = 0.4
