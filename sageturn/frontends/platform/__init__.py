"""The frontend for the platform's line protocol: lines of text over TCP."""
