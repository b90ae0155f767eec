"""Runs of the simulation: a single run, experiments over several processes, and searches."""
