"""A small replicated store of versioned records: configuration, and what each node says of itself.

Consistency: every node answers reads from its own copy and takes writes at any time, also while it
cannot reach the others. Records are compared by (version, node) and the larger wins, so once replicas
have exchanged what they miss, all hold the same, in whatever order it came. Two writes to one key made
on two sides of a partition are both kept until then, and the smaller one is dropped when it heals; a
write that must not be lost so has to read its key again after. Keys under ``state/NODE/`` are written
by that node alone, so for these no write is ever dropped. A write is durable once ``put`` returns.
"""
