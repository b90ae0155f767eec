"""Comparisons and reports of results."""
