"""Conversion factors between units."""

from __future__ import annotations

MS_PER_S = 1000.0
S_PER_MINUTE = 60.0
NANOSECONDS_PER_S = 1e9
BYTES_PER_MB = 2**20
BYTES_PER_GB = 2**30
