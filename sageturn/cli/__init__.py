"""The ``sageturn`` command for operators. The relay never imports it."""
