"""Soak test of the replicated store: real processes, killed and suspended between writes of commands."""
