"""Flow export: one IPFIX record (RFC 7011) for each ended connection."""
