"""Replication of the store between members: pure modules, and ``member.py``, which has sockets and a clock.

``changes`` records what changed since when, ``session`` speaks the protocol over one connection
(``messages``, ``message_codec``, ``wire``), ``replica`` is one replica with all its sessions, and
``overlay`` decides which members connect. The design and its reasons: ``docs/design/spread.md``.
"""
