"""How Hypothesis runs in all tests."""

from __future__ import annotations

from hypothesis import settings as checks

# What is checked is what comes out, not how fast: with the cores busy 200 ms are soon over.
checks.register_profile("sageturn", deadline=None)
checks.load_profile("sageturn")
