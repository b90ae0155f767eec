"""What the relay does, whatever wire its clients speak: no socket, no HTTP and no XML in here."""
