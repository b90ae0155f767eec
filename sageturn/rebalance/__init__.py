"""Slow rebalancing of established connections: which clients are asked to reconnect, when, and why.

``driver`` connects the package to the relay. All other modules do no I/O and read no clock: ``planner``
decides at each tick, from the connections and signals that ``event_tracker`` has observed.
"""
