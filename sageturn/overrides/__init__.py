"""Operator overrides with an expiry: out of service, weight, sticky routing (pin) and rebalancing hold.

Only ``actor`` does I/O and reads a clock. It connects a relay to the other modules, which are pure.
"""
