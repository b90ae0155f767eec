"""Operator overrides, each with an expiry: endpoints out of service, weights, sticky routing and holds.

Only ``actor`` does I/O and reads a clock; it connects the other modules, which are pure, to a relay.
"""
