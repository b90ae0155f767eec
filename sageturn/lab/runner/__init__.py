"""Runs of the simulation: a day, an experiment over several processes, a search over experiments."""
