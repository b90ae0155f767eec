"""Model of a simulated fleet: its specification, and its endpoints, clients and relays in simulated time."""
