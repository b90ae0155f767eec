"""Route advertisements: how linked members learn who their common root is, and how many they are. No I/O.

The root is the first member, in the global order, of those linked together. Its numbered heartbeats are
forwarded over all links, as in the spanning tree protocol (IEEE 802.1D). In the other direction each member
reports how many members reach the root over it. A root that counts fewer than are known looks for the others.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RouteAdvertisement:
    """The part of a heartbeat about the root: the first member, in global order, of those linked together.

    Attributes:
        root_rank: The root's position in the global order.
        root_incarnation: The root's incarnation.
        sequence: The number of the root's heartbeat within that incarnation.
        is_root_path: Whether the sender reaches the root over this link. Rank, incarnation and sequence are
            then the sender's own.
        member_count: The members behind this link if it is the sender's root path, else all that the root
            counts.
    """

    root_rank: int
    root_incarnation: int
    sequence: int
    is_root_path: bool
    member_count: int
