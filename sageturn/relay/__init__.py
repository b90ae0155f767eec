"""The relay process: its composition and lifecycle, its reloads, and the reports of its own state."""

from sageturn.relay.relay import Relay

__all__ = ["Relay"]
