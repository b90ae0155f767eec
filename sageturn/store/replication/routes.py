"""Route advertisements: how linked members learn who their common root is, and how many they are. No I/O.

The root is the first member, in the global order, of those linked together. It numbers its heartbeats; they
go on over all links, as in the spanning tree protocol (IEEE 802.1D), and the links over which they came count
the members behind them back to the root. A root that counts too few looks for the others.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RouteAdvertisement:
    """What a heartbeat says about the root: the first member, in global order, of those linked together."""

    root_rank: int  # the root's position in the global order
    root_incarnation: int
    sequence: int  # the root's heartbeat number within that incarnation
    is_root_path: bool  # the sender reaches the root over this link; rank and sequence are then its own
    member_count: int  # behind this link if it is the sender's root path, else all members the root counts
