"""Frontends: each translates one client protocol to and from the core's messages, and routes nothing."""
