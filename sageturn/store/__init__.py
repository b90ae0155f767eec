"""A small replicated store of versioned records: configuration, and what each node reports of itself.

Consistency: every node answers reads from its own replica and takes writes at any time, also while it cannot
reach the others. Records are compared by (version, node) and the larger wins, so once replicas have exchanged
what they lack, all hold the same, in whatever order it came. Of two writes to one key on two sides of a
partition the smaller is dropped when the partition heals; a writer that must not lose a write has to read its
key again after. Keys under ``state/NODE/`` are written by that node alone, so for these no write is ever
dropped. A write is durable once ``put`` returns.
"""
