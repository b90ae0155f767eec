"""Spreads the store's records over a bounded tree of members: who links to whom, and what is sent."""
