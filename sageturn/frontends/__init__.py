"""Fronts: each turns one wire into the core's messages and back, and decides nothing."""
