"""The signals that a relay handles.

The program blocks them in its first statement, so this module must import nothing else of the package.
"""

from __future__ import annotations

import signal

SHUTDOWN_SIGNALS = (signal.SIGTERM, signal.SIGINT)
HANDLED_SIGNALS = (signal.SIGHUP, *SHUTDOWN_SIGNALS)
