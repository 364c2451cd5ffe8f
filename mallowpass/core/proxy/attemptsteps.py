"""Steps of attempts to replace a primary, each of which may raise.

An attempt goes on with a reply, a timer or a signal. Nothing repeats a step that
raised, so its attempt would stay, and keep this host from beginning another one.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import singledispatch, wraps
from typing import Any

from mallowpass.core.messages import Signal
from mallowpass.core.proxy.replacement import Replacement
from mallowpass.core.records import record

__all__ = ["StepFailed", "attempt_step"]


@record
class StepFailed(Signal):
    """A step of an attempt of this host raised an exception."""

    attempt: Replacement


def attempt_step(method: Callable[..., None]) -> Callable[..., None]:
    """Have an attempt end if a method raises that takes it, or a task of it, first.

    The exception is reported as any other. A caller goes on after the attempt ended, so
    the method is the last thing that a caller does for the attempt.
    """

    @wraps(method)
    def step(system: Any, subject: Any, *arguments: Any) -> None:
        node = system._node
        if not node.guard(method, system, subject, *arguments):
            node.publish(StepFailed(_attempt_of(subject)))

    return step


@singledispatch
def _attempt_of(subject: Any) -> Replacement:
    """Return the attempt that a task belongs to."""
    return subject.attempt


@_attempt_of.register
def _(subject: Replacement) -> Replacement:
    return subject
