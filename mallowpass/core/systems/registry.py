"""The systems of a full node, in the order in which they start."""

from __future__ import annotations

from mallowpass.core.node import System
from mallowpass.core.systems.admission import Admission
from mallowpass.core.systems.configuration import Configuration
from mallowpass.core.systems.draining import Draining
from mallowpass.core.systems.failover import Failover
from mallowpass.core.systems.liveness import Liveness
from mallowpass.core.systems.loans import Loans
from mallowpass.core.systems.membership import Membership
from mallowpass.core.systems.operators import Operations
from mallowpass.core.systems.platformclient import PlatformClient
from mallowpass.core.systems.pooling import Pooling
from mallowpass.core.systems.requests import Requests
from mallowpass.core.systems.retries import Retries
from mallowpass.core.systems.routing import Routing
from mallowpass.core.systems.sessions import Sessions
from mallowpass.core.systems.transactions import Transactions

__all__ = ["ALL_SYSTEMS"]

ALL_SYSTEMS: tuple[type[System], ...] = (
    PlatformClient,
    Membership,
    Configuration,
    Liveness,
    Failover,
    Admission,
    Loans,
    Pooling,
    Routing,
    Retries,
    Requests,
    Transactions,
    Sessions,
    Draining,
    Operations,
)
