"""Client of the promotion service of the platform.

Only the holder of a lease orders promotions. Each order carries the name of the holder
and its fencing token, so that the platform can refuse the orders of an earlier holder.
"""

from __future__ import annotations

import json

from mallowpass.core.proxy.effects import AskPrimary, OrderPromotion
from mallowpass.core.proxy.events import PrimaryAnswered, PromotionAnswered
from mallowpass.platform.http import HttpClient, HttpError, Request
from mallowpass.platform.settings import Address

__all__ = ["PromotionClient"]

# Too Many Requests and Service Unavailable: the same order may be accepted later.
_RETRYABLE_HTTP_CODES = frozenset({429, 503})


class PromotionClient:
    """Order promotions in the name of this host."""

    __slots__ = ("_client", "_host_name")

    def __init__(self, address: Address, host_name: str) -> None:
        self._client = HttpClient(address)
        self._host_name = host_name

    async def promote(self, order: OrderPromotion) -> PromotionAnswered:
        """Order a promotion, and return the outcome as an event.

        `PromotionAnswered.accepted` is None if it is unknown whether the order was
        carried out.
        """
        headers = (
            ("Content-Type", "application/json"),
            ("Mallowpass-Lease-Holder", self._host_name),
            ("Mallowpass-Fencing-Token", str(order.fencing_token)),
        )
        body = json.dumps({"service": order.service, "id": order.endpoint}).encode()
        request = Request("POST", "/promote", headers, body)
        try:
            response = await self._client.call(request, order.timeout)
        except HttpError as error:
            accepted = None if error.sent else False
            return PromotionAnswered(order.call, accepted, message=str(error))
        message = (
            f"HTTP status {response.status} {response.body[:200].decode('latin-1')}"
        )
        if response.status == 200:
            return PromotionAnswered(order.call, True)
        if response.status == 409:
            # The platform has seen a newer token, or the endpoint is not running.
            return PromotionAnswered(order.call, False, outdated=True, message=message)
        if response.status in _RETRYABLE_HTTP_CODES or 400 <= response.status < 500:
            return PromotionAnswered(order.call, False, message=message)
        return PromotionAnswered(order.call, None, message=message)

    async def ask(self, question: AskPrimary) -> PrimaryAnswered:
        """Order the promotion of a primary, and return whether it runs."""
        order = OrderPromotion(
            question.call,
            question.service,
            question.endpoint,
            question.fencing_token,
            question.timeout,
        )
        answered = await self.promote(order)
        is_running = True if answered.accepted else None
        if answered.outdated:
            is_running = False
        return PrimaryAnswered(question.call, is_running)
