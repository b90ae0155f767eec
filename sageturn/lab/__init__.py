"""Laboratory of fakes, simulated fleets, process tests and measurements. The relay never imports it."""
