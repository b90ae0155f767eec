"""A soak test of real relay processes on loopback: overlapping faults by a seed, and an auditor."""
