"""Scale runs: emulated members and real relays on loopback, and the cost of their control traffic by size."""
