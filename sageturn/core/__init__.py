"""The part of the relay that is the same for every protocol: nothing here knows sockets, HTTP or XML."""
