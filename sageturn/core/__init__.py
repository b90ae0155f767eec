"""The protocol-independent part of the relay: no module here uses sockets, HTTP or XML."""
