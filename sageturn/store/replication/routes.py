"""Route advertisements, by which linked members learn their common root and their number. No I/O.

The root of a group of linked members is its first member in the global order. The root's numbered heartbeats
are forwarded over all links, as in the spanning tree protocol (IEEE 802.1D). In the other direction each
member reports the number of members that reach the root over it. A root that counts fewer members than are
known dials the others.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RouteAdvertisement:
    """The fields of a heartbeat about the root of the linked members.

    Attributes:
        root_rank: The root's position in the global order.
        root_incarnation: The root's incarnation.
        sequence: The sequence number of the root's heartbeat within that incarnation.
        is_root_path: True if the sender reaches the root over this link. Rank, incarnation and sequence are
            then the sender's own.
        member_count: The number of members that reach the root over the sender if this link is its root path,
            else the number of all members that the root counts.
    """

    root_rank: int
    root_incarnation: int
    sequence: int
    is_root_path: bool
    member_count: int
