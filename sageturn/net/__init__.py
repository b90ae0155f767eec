"""Sockets: connecting and closing, admission control, the listener, and the clients of other services."""
