"""Tests of the timer service."""

from __future__ import annotations

from mallowpass.core.timers import TimerService


def test_timers_run_in_order_of_time_then_of_setting():
    timers = TimerService()
    ran = []
    timers.at(2.0, ran.append, "second")
    timers.at(1.0, ran.append, "first")
    timers.at(2.0, ran.append, "third")
    timers.advance(2.0)
    assert timers.run_due()
    assert ran == ["first", "second", "third"]


def test_cancelled_timer_neither_runs_nor_is_next_due():
    timers = TimerService()
    ran = []
    timer = timers.at(1.0, ran.append, "no")
    timers.at(3.0, ran.append, "yes")
    timer.cancel()
    assert timers.next_due == 3.0
    timers.advance(2.0)
    assert not timers.run_due()
    assert ran == []


def test_time_does_not_go_back():
    """An expired lease looks valid again.

    After an event at time 10, an event with time 9 comes, and the timer service takes
    the earlier time for the present one.
    """
    timers = TimerService()
    timers.advance(10.0)
    timers.advance(9.0)
    assert timers.now == 10.0


def test_periodic_timer_runs_once_after_a_pause():
    """A host sends a burst of hundreds of heartbeats after a pause.

    A timer with a period of 1 s does not run for 100 s, and then runs once for each
    period missed.
    """
    timers = TimerService()
    ran = []
    timers.every(1.0, ran.append, "beat")
    timers.advance(100.0)
    timers.run_due()
    assert ran == ["beat"]
    assert timers.next_due == 101.0


def test_timer_that_a_callback_sets_for_the_same_time_runs():
    timers = TimerService()
    ran = []
    timers.at(1.0, lambda: timers.at(1.0, ran.append, "inner"))
    timers.advance(1.0)
    timers.run_due()
    assert ran == ["inner"]
