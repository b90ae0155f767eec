"""The simulated fleet: what it consists of, its endpoints, clients and relays in simulated time."""
