"""Sockets: helpers, the listener and discovery's client."""
