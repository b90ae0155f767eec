"""A small replicated store of versioned records: configuration, and the state that each node reports.

Consistency: every node serves reads from its own replica and accepts writes at any time, also while it cannot
reach the others. Records are compared by (version, node) and the larger one wins, so replicas converge to the
same records whatever the order in which updates arrive. If both sides of a partition write the same key, the
write with the smaller (version, node) is dropped when the partition heals; a writer that must not lose a
write has to read the key again afterwards. Keys under ``state/NODE/`` are written by that node alone, so
their writes are never dropped. A write is durable once ``put`` returns.
"""
