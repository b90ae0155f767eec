"""What the relay does whatever protocol its clients speak: nothing here knows sockets, HTTP or XML."""
