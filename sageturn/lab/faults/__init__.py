"""Faults of a simulated day, and their injection into the simulated fleet."""
