"""Runs of real relay processes on loopback, between fake endpoints, fake discovery and clients."""
