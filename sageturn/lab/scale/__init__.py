"""Scale runs: emulated members beside real relays on loopback, and what their control costs by size."""
