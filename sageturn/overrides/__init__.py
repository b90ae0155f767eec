"""Overrides by operators, each with an expiry: hosts out of service, weights, pins and holds.

``ops``, ``model``, ``resolve`` and ``returns`` do no I/O and hold no clock; ``actor`` joins them to a relay.
"""
