"""Measurements of the cost and delay of single mechanisms, printed by the commands of sageturn.lab."""
