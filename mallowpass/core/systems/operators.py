"""Requests of operators: changes, lists, drains, promotions, status, explanations.

The adapter has authenticated the operators. Each action is logged and recorded in the
journal with the operator's name. Requests that only read are neither logged nor
recorded.
"""

from __future__ import annotations

from functools import singledispatchmethod

from mallowpass.core.effects import AnswerOperator
from mallowpass.core.events import OperatorRequested
from mallowpass.core.node import Node, System
from mallowpass.core.operations import (
    ChangeServiceRequest,
    DrainAnswer,
    DrainRequest,
    ExplainRequest,
    ListServicesRequest,
    OperatorAnswer,
    OperatorRequest,
    PromoteAnswer,
    PromoteRequest,
    ServicesListedAnswer,
    StatusRequest,
)
from mallowpass.core.peering import DrainCall, DrainReply
from mallowpass.core.services import database_key
from mallowpass.core.systems.configuration import Configuration
from mallowpass.core.systems.draining import Draining
from mallowpass.core.systems.explaining import Explaining
from mallowpass.core.systems.membership import Membership
from mallowpass.core.systems.status import status_of
from mallowpass.errors import ErrorCode

__all__ = ["Operations"]

RELAY_TIMEOUT = 5.0  # seconds that another host has to answer a drain


class Operations(System):
    """Answer each call of an operator exactly once."""

    __slots__ = ("_explaining", "_relayed_drains")

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._explaining = Explaining(node)
        self._relayed_drains: dict[str, int] = {}  # the operator's call, by drain id

    @property
    def _configuration(self) -> Configuration:
        return self._node.system(Configuration)

    def start(self) -> None:
        """Subscribe to operators' requests and to drains that peers relay."""
        self._node.subscribe(OperatorRequested, self._on_requested)
        membership = self._node.system(Membership)
        membership.on_message(DrainCall, self._on_drain_call)
        membership.on_message(DrainReply, self._on_drain_reply)
        self._explaining.start()

    def _on_requested(self, event: OperatorRequested) -> None:
        self._handle(event.request, event.call)

    def _answer(self, call: int, answer: OperatorAnswer) -> None:
        self._node.emit(AnswerOperator(call, answer))

    # -- Requests ------------------------------------------------------------

    @singledispatchmethod
    def _handle(self, request: OperatorRequest, call: int) -> None:
        code = ErrorCode.MALFORMED_MESSAGE
        message = f"this host does not know the request {type(request).__name__}"
        self._answer(call, OperatorAnswer(code=code.code, message=message))

    @_handle.register
    def _(self, request: ChangeServiceRequest, call: int) -> None:
        def on_answer(result: OperatorAnswer) -> None:
            self._log_action(request, "change", request.name, result)
            self._answer(call, result)

        self._node.system(Configuration).change(request, on_answer)

    @_handle.register
    def _(self, request: ListServicesRequest, call: int) -> None:
        rows = self.tables.services
        names = [request.name] if request.name else sorted(rows)
        found = tuple(rows[name].accepted for name in names if name in rows)
        if request.name and not found:
            self._answer(call, self._not_found(request.name))
            return
        message = "" if self._configuration.is_known else _CONFIGURATION_UNKNOWN
        self._answer(call, ServicesListedAnswer(services=found, message=message))

    @_handle.register
    def _(self, request: StatusRequest, call: int) -> None:
        self._answer(call, status_of(self._node))

    @_handle.register
    def _(self, request: ExplainRequest, call: int) -> None:
        def on_answer(result: OperatorAnswer) -> None:
            self._answer(call, result)

        self._explaining.explain(request, on_answer)

    @_handle.register
    def _(self, request: PromoteRequest, call: int) -> None:
        from mallowpass.core.systems.failover import Failover

        key = database_key(request.service, request.database)

        def on_answer(accepted: bool, term: int, why: str) -> None:
            code = "" if accepted else ErrorCode.FAILING_OVER.code
            result = PromoteAnswer(accepted=accepted, term=term, code=code, message=why)
            self._log_action(request, "promote", f"{key} {request.member}", result)
            self._answer(call, result)

        database = self.tables.databases.get(key)
        if database is None:
            code = ErrorCode.UNKNOWN_DATABASE
            message = f"{code.meaning} {key!r}"
            result = PromoteAnswer(accepted=False, code=code.code, message=message)
            self._answer(call, result)
            return
        self._node.system(Failover).promote(key, request.member, on_answer)

    @_handle.register
    def _(self, request: DrainRequest, call: int) -> None:
        own = self._node.identity.name
        if request.host in ("", own):
            result = self._drain_here(request.operator, request.limit)
            self._answer(call, result)
        else:
            self._relay_drain(request, call)

    # -- Drains --------------------------------------------------------------

    def _drain_here(self, operator: str, limit: float) -> DrainAnswer:
        result = self._node.system(Draining).begin(limit)
        own = self._node.identity.name
        request = DrainRequest(operator=operator, host=own, limit=limit)
        self._log_action(request, "drain", own, result)
        return result

    def _relay_drain(self, request: DrainRequest, call: int) -> None:
        name = f"{self._node.identity.name}/{self._node.next_number()}"
        message = DrainCall(name, request.host, request.operator, request.limit)
        if not self._node.system(Membership).send_or_dial(request.host, message):
            self._answer(call, _unreachable_host(request.host, "is unknown here"))
            return
        self._relayed_drains[name] = call
        self.timers.after(RELAY_TIMEOUT, self._on_relay_timeout, name, request.host)

    def _on_relay_timeout(self, name: str, host: str) -> None:
        call = self._relayed_drains.pop(name, None)
        if call is not None:
            why = "did not answer; the host may be draining: check its status"
            self._answer(call, _unreachable_host(host, why))

    def _on_drain_call(self, host: str, call: DrainCall) -> None:
        if call.host != self._node.identity.name:
            return
        result = self._drain_here(call.operator, call.limit)
        reply = DrainReply(
            call.call, call.host, result.accepted, result.code, result.message
        )
        self._node.system(Membership).send(host, reply)

    def _on_drain_reply(self, host: str, reply: DrainReply) -> None:
        call = self._relayed_drains.pop(reply.call, None)
        if call is not None:
            result = DrainAnswer(
                accepted=reply.accepted, code=reply.code, message=reply.message
            )
            self._answer(call, result)

    # -- Helpers -------------------------------------------------------------

    def _log_action(
        self,
        request: OperatorRequest,
        action: str,
        subject: str,
        result: OperatorAnswer,
    ) -> None:
        outcome = result.code or "accepted"
        self._node.log(
            "info",
            "operator_action",
            operator=request.operator,
            action=action,
            subject=subject,
            result=outcome,
        )
        text = f"{action} by {request.operator}: {outcome} {result.message}"
        self._node.record_decision("operator", subject, text)

    def _not_found(self, name: str) -> ServicesListedAnswer:
        code = ErrorCode.SERVICE_NOT_FOUND
        detail = "" if self._configuration.is_known else f" {_CONFIGURATION_UNKNOWN}"
        message = f"{code.meaning} {name!r}{detail}"
        return ServicesListedAnswer(code=code.code, message=message)


_CONFIGURATION_UNKNOWN = (
    "This host knows no configuration yet: it has reached neither the platform nor a "
    "peer that knows the configuration."
)


def _unreachable_host(host: str, why: str) -> DrainAnswer:
    code = ErrorCode.UNKNOWN_HOST
    return DrainAnswer(
        accepted=False, code=code.code, message=f"{code.meaning} {host!r} {why}"
    )
