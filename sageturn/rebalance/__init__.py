"""Slow rebalancing of established connections: which clients are asked to reconnect, when, and why.

``driver`` connects the package to the relay. All else does no I/O and has no clock: ``planner`` decides at
each tick, from what ``event_tracker`` has observed of the balancer.
"""
