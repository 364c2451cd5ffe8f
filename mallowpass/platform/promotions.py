"""Orders to the platform that one host at a time may give: promotions."""

from __future__ import annotations

import json

from mallowpass.core.proxy.effects import OrderPromotion
from mallowpass.core.proxy.events import PromotionAnswered
from mallowpass.platform.http import HttpClient, HttpError, Request
from mallowpass.platform.settings import Address

__all__ = ["PromotionClient"]

_REFUSED_FOR_NOW = frozenset({429, 503})


class PromotionClient:
    """Give orders under this host's name."""

    __slots__ = ("_client", "_name")

    def __init__(self, address: Address, name: str) -> None:
        self._client = HttpClient(address)
        self._name = name

    async def promote(self, order: OrderPromotion) -> PromotionAnswered:
        """Order a promotion, and tell what the platform answered."""
        headers = (
            ("Content-Type", "application/json"),
            ("Mallowpass-Lease-Holder", self._name),
            ("Mallowpass-Fencing-Token", str(order.fencing_token)),
        )
        body = json.dumps({"service": order.service, "id": order.endpoint}).encode()
        request = Request("POST", "/promote", headers, body)
        try:
            response = await self._client.call(request, order.timeout)
        except HttpError as error:
            accepted = None if error.sent else False
            return PromotionAnswered(order.call, accepted, message=str(error))
        message = f"status {response.status} {response.body[:200].decode('latin-1')}"
        if response.status == 200:
            return PromotionAnswered(order.call, True)
        if response.status == 409:
            # Either a newer token was seen, or the endpoint is not running.
            return PromotionAnswered(order.call, False, outdated=True, message=message)
        if response.status in _REFUSED_FOR_NOW or 400 <= response.status < 500:
            return PromotionAnswered(order.call, False, message=message)
        return PromotionAnswered(order.call, None, message=message)
