"""The platform's frontend: lines of text over TCP."""
