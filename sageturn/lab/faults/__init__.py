"""Faults of a simulated run, and their injection into the simulated fleet."""
