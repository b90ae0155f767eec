"""Sockets, admission control, listeners, and the clients of discovery and of health checks."""
