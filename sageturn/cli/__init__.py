"""The ``sageturn`` command. Nothing that a relay runs imports it."""
