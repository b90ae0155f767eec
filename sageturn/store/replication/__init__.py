"""Replication of the store between members.

``changes`` is the change log, ``session`` implements the protocol on one connection (``messages``,
``message_codec``, ``wire``), ``replica`` is one replica with all its sessions, and ``overlay`` decides which
members link to each other. These modules have no I/O and no clock; ``member`` connects them to sockets and
the clock. ``docs/design/spread.md`` describes the design and its reasons.
"""
