"""Flow export: one IPFIX record (RFC 7011) for each connection that has ended."""
