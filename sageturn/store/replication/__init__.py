"""How changes of the store spread: pure parts, and ``member.py``, the one that has sockets and a clock.

``changes.py`` knows what changed since when, ``session.py`` speaks over one link, ``replica.py`` is one
copy with all its links, ``overlay.py`` says whom to link to. Why so: ``docs/design/spread.md``.
"""
