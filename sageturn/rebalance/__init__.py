"""Rate-limited rebalancing of established connections: which clients are asked to reconnect, when and why.

``driver`` connects the package to the relay. No other module does I/O or reads a clock: ``planner`` decides
at each tick, based on the connections and signals that ``event_tracker`` derives from the balancer's events.
"""
