"""Divide the connections of one endpoint among its holders, by region.

Reads stay in the region of their callers, so an endpoint gets most of its statements
from the holders in its own region. With equal shares, the 2 or 3 holders there had 12
to 18 of 50 connections for 71 customers, and closed a connection of one customer to
open one for another, while most connections of the other holders were idle.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping

__all__ = ["regional_shares"]

# Connections of a holder in another region than the endpoint. They serve while the
# holders in the endpoint's region are gone; with one, an open transaction would block
# all other statements of the holder.
OTHER_REGION_SHARE = 2


def regional_shares(equal: Mapping[str, int], local: Collection[str]) -> dict[str, int]:
    """Return the shares of holders in an endpoint's connections, with the same sum.

    `equal` has the equal shares by holder, `local` the holders in the region of the
    endpoint. Without a local holder, the shares stay equal.
    """
    local_holders = [holder for holder in equal if holder in local]
    if not local_holders:
        return dict(equal)
    shares = {
        holder: min(share, OTHER_REGION_SHARE)
        for holder, share in equal.items()
        if holder not in local
    }
    rest = sum(equal.values()) - sum(shares.values())
    share, remainder = divmod(rest, len(local_holders))
    for index, holder in enumerate(local_holders):
        shares[holder] = share + (index < remainder)
    return shares
