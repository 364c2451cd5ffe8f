"""Tests of the timer service."""

from __future__ import annotations

from mallowpass.core.timers import TimerService


def test_runs_in_order_of_time_and_subscription():
    timers = TimerService()
    ran = []
    timers.at(2.0, ran.append, "second")
    timers.at(1.0, ran.append, "first")
    timers.at(2.0, ran.append, "third")
    timers.advance(2.0)
    assert timers.run_due()
    assert ran == ["first", "second", "third"]


def test_cancelled_timer_neither_runs_nor_counts_as_due():
    timers = TimerService()
    ran = []
    timer = timers.at(1.0, ran.append, "no")
    timers.at(3.0, ran.append, "yes")
    timer.cancel()
    assert timers.next_due == 3.0
    timers.advance(2.0)
    assert not timers.run_due()
    assert ran == []


def test_clock_that_steps_back_is_held_still():
    """Keep an expired lease expired.

    Symptom: a lease that had lapsed looked valid again.
    Sequence: time 10 is seen, then an event stamped 9 comes.
    Cause: the timer service took the older time as now.
    """
    timers = TimerService()
    timers.advance(10.0)
    timers.advance(9.0)
    assert timers.now == 10.0


def test_paused_host_runs_a_missed_period_once():
    """Run one round after a pause, not all that were missed.

    Symptom: a host that woke sent a burst of hundreds of heartbeats.
    Sequence: a period of 1 s, then nothing for 100 s.
    Cause: each missed round was made up for.
    """
    timers = TimerService()
    ran = []
    timers.every(1.0, ran.append, "beat")
    timers.advance(100.0)
    timers.run_due()
    assert ran == ["beat"]
    assert timers.next_due == 101.0


def test_callback_may_subscribe_to_the_same_moment():
    timers = TimerService()
    ran = []
    timers.at(1.0, lambda: timers.at(1.0, ran.append, "inner"))
    timers.advance(1.0)
    timers.run_due()
    assert ran == ["inner"]
