"""The signals that a relay handles.

The program blocks them before it imports anything else, so this module must not import others of
the package, which would delay that.
"""

from __future__ import annotations

import signal

SHUTDOWN_SIGNALS = (signal.SIGTERM, signal.SIGINT)
HANDLED_SIGNALS = (signal.SIGHUP, *SHUTDOWN_SIGNALS)
