"""What the whole system's machine found, each as its smallest sequence."""

from __future__ import annotations

from mallowpass.core.calls import Access, Outcome
from mallowpass.errors import ErrorCode
from tests.fuzz.fleet import CORE, LEDGER, Fleet
from tests.fuzz.machine import WholeSystem


def test_transaction_whose_connection_expired_in_a_pause_is_ended():
    """Symptom: KeyError in the core; the caller gets no answer to its statement.

    Sequence: begin; the host stands still until the connection's life is over and
    the transaction's idle time is not; the caller's next statement comes.
    Cause: KeepAlive.send_internal closes an expired connection by Pooling.expire,
    which is for connections that nobody uses, and does not tell its transaction.
    """
    fleet = Fleet()
    session = fleet.open("h1", "hind")
    transaction = fleet.begin(session)
    fleet.run(0.2)
    fleet.proxies["h1"].pause(9.4)
    statement = fleet.execute(transaction, Access.READ)
    fleet.run(11.0)
    assert statement.answer is not None
    assert statement.answer.outcome is Outcome.NOT_RUN


def test_one_long_transaction_does_not_refuse_all_later_requests():
    """Symptom: a host refuses each write of 3 s for good: "3.386s to wait".

    Sequence: one transaction keeps a connection for 3.4 s; the connections are lost;
    later writes come alone, with 3 s each, to an idle host.
    Cause: Admission.predicted_pool_wait takes the average hold for the wait though the
    queue is
    empty and a connection could be opened; refused requests teach no shorter hold.
    """
    fleet = Fleet()
    session = fleet.open("h0", "hind")
    transaction = fleet.begin(session)
    fleet.run(3.4)
    fleet.end(transaction)
    fleet.run(0.5)
    fleet.crash(CORE, "a0")
    fleet.run(0.05)
    fleet.heal()
    fleet.run(10.0)
    writes = [fleet.write(session)]
    fleet.run(4.0)
    writes.append(fleet.write(session))
    fleet.run(4.0)
    assert Outcome.DONE in {write.answer.outcome for write in writes}


def test_age_does_not_hide_that_what_a_session_saw_is_gone():
    """Symptom: a read is DONE and lacks what its session has seen; no FLOOR_LOST.

    Sequence: the session reads an entry that only the primary has; the primary
    fails, and the next term lacks the entry; the session reads with an accepted age.
    Cause: request.floor is the maximum of the session's floor (1, 2) and the age's,
    which is in the new term already: what is checked is not the session's floor.
    """
    fleet = Fleet()
    session = fleet.open("h0", "hind")
    fleet.read(session)
    fleet.run(0.1)
    group = fleet.groups[CORE]
    for name in ("a1", "a2"):
        fleet.crash(CORE, name, tell=True)
    fleet.write(session)
    fleet.run(0.02)
    first = fleet.read(session)
    fleet.run(1.5)
    assert len(first.answer.rows[1]) == 2
    fleet.crash(CORE, "a0", tell=True)
    for name in ("a1", "a2"):
        group.recover(name)
    fleet.run(3.0)
    fleet.read(fleet.open("h0", "salma"), age=0.5)  # an age floor of the new term
    fleet.run(0.5)
    again = fleet.read(session, age=0.5)  # the oracle checks its content
    fleet.run(1.0)
    assert again.answer.code == ErrorCode.FLOOR_LOST.code


def test_read_that_accepts_no_age_at_all_is_served():
    """Symptom: a read with accepted_age 0, or less than a round trip, is NOT_RUN.

    Sequence: a healthy fleet; a session reads with an accepted age of 0 s.
    Cause: a floor learnt for the read is older than the age once it is learnt, as
    SessionFloors.refresh counts from the arrival: it is learnt again until the end.
    """
    fleet = Fleet()
    session = fleet.open("h2", "hind")
    read = fleet.read(session, age=0.0)
    fleet.run(4.0)
    assert read.answer.outcome is Outcome.DONE


def test_read_transaction_that_proves_no_floor_leaves_a_clean_connection():
    """Symptom: a transaction begins on a connection where another one is open.

    Sequence: after a promotion a host that has no report of the new term from a
    member begins a read-only transaction there; its reply proves no floor; the
    connection goes back to the pool and serves the next begin.
    Cause: Reads._on_stale releases the connection without a reset, although the
    endpoint opened the transaction (Writes._on_begun does reset it).
    """
    machine = WholeSystem()
    machine.start(seed=7)
    machine.wait_a_little()
    machine.drain(seat="h0")
    machine.wait(seconds=0.5)
    machine.cut_domains(first="d0", second="d1")
    machine.crash_primary(key=CORE, tell=True)
    machine.wait(seconds=3.0)
    machine.recover(key=CORE, member=0)
    machine.write_then_read(pick=732)
    machine.wait(seconds=3.0)
    machine.wait_a_little()
    machine.begin(pick=35, access=Access.READ)
    machine.teardown()


def test_reads_in_a_first_transaction_raise_the_sessions_floor():
    """Symptom: a read lacks what an earlier read of the session showed; no FLOOR_LOST.

    Sequence: a new session begins a transaction that may write; it reads there what
    only the cut-off primary has; the session then reads outside of it.
    Cause: Transactions raises a known floor only, and forgets the one that was learnt
    from a majority for the begin; so the next read learns a lower one anew.
    """
    fleet = Fleet()
    session = fleet.open("h2", "salma")
    transaction = fleet.begin(session)
    fleet.run(0.1)
    for name in ("a1", "a2"):
        fleet.cut("a0", name)
    fleet.write(fleet.open("h0", "hind"))
    fleet.run(0.1)
    first = fleet.execute(transaction, Access.READ)
    fleet.run(0.1)
    assert len(first.answer.rows[1]) == 2
    fleet.read(session)  # the oracle checks its content
    fleet.run(4.0)


def test_group_whose_members_all_restarted_gets_a_primary_from_new_hosts():
    """Symptom: a database has no primary for good; every write fails, reads work.

    Sequence: all members restart, and no host knows who led: the hosts restarted
    too, or the service was declared anew meanwhile.
    Cause: replicas that have heard nobody since their start report no
    primary_silence; Confirmation then takes its own silence of the suspect, which is
    0 s for ever when there is no suspect, so the verdict is HEARD each time.
    """
    fleet = Fleet()
    members = list(fleet.groups[LEDGER].members)
    for name in members:
        fleet.crash(LEDGER, name, tell=True)
    for seat in list(fleet.proxies):
        fleet.kill(seat)
        fleet.restart(seat)
    for name in members:
        fleet.recover(LEDGER, name)
    fleet.run(10.0)
    write = fleet.write(fleet.open("h0", "hind", "lease"))
    fleet.run(4.0)
    assert write.answer.outcome is Outcome.DONE


def test_loan_that_was_given_back_is_not_prolonged():
    """Symptom: KeyError in Loans._renew, from a timer of a host that drains.

    Sequence: a host uses borrowed connections at a primary that fails; the loan is
    given back while its connections are closed; the loan's timer runs once more.
    Cause: Loans._return takes the loan out of the pool first, so a connection that is
    then closed stays among the loan's numbers; _tend does not see that it is over.
    """
    machine = WholeSystem()
    machine.start(seed=6)
    machine.wait(seconds=3.4)
    machine.platform(mode="slow")
    machine.change(
        first="h0", second="h3", service="lease", length=52, delete=True, age=1.0
    )
    machine.read_with_token(pick=88, which="newest")
    machine.disconnect(pick=607)
    machine.crash_primary(key=LEDGER, tell=True)
    machine.write_then_read(pick=208)
    machine.wait(seconds=3.0)
    machine.begin(pick=202, access=Access.WRITE)
    machine.write(pick=806, unrepeatable=False, times=3)
    machine.write_then_read(pick=479)
    machine.write(pick=295, unrepeatable=False, times=6)
    machine.wait(seconds=0.4)
    machine.write(pick=599, unrepeatable=True, times=6)
    machine.kill(seat="h0")
    machine.wait_a_little()
    machine.write(pick=891, unrepeatable=False, times=1)
    machine.wait(seconds=0.4)
    machine.drain(seat="h2")
    machine.write(pick=100, unrepeatable=True, times=1)
    machine.teardown()


def test_primary_that_was_taken_for_isolated_serves_again():
    """Symptom: a host holds all writes for good though a healthy primary leads.

    Sequence: a primary is promoted while another member stands still; it is cut off
    from the third one for 3 s; all faults end.
    Cause: the host that found that no majority could hold what the primary takes
    drops it as its primary, and does not take it back when the members hear it again.
    """
    machine = WholeSystem()
    machine.start(seed=1)
    machine.pause_member(key=LEDGER, member=0)
    machine.promote(seat="h3", key=LEDGER, member=2)
    machine.cut_domains(first="d2", second="d1")
    machine.wait(seconds=3.0)
    machine.teardown()


def test_floor_is_not_lost_to_a_term_that_was_dropped_itself():
    """Symptom: FLOOR_LOST for good, though the newest log holds all that was seen.

    Sequence: a session sees (2, 6); a primary of term 3 starts at 3 and is replaced
    before a majority holds anything of it; term 4 goes on from (2, 6).
    Cause: GroupView.discarded_by counts the start of any higher term ever reported,
    also of one that is in no log any more.
    """
    machine = WholeSystem()
    machine.start(seed=6)
    machine.wait(seconds=0.2)
    machine.heal()
    machine.isolate_primary(key=CORE)
    machine.wait(seconds=3.0)
    machine.write(pick=369, unrepeatable=True, times=3)
    machine.isolate_primary(key=CORE)
    machine.wait(seconds=1.0)
    machine.read(pick=971, age=1.0, chunks=True, times=3)
    machine.wait_a_little()
    machine.write_then_read(pick=289)
    machine.wait(seconds=1.0)
    machine.read_with_token(pick=416, which="none")
    machine.teardown()


def test_learnt_floor_does_not_hide_that_what_a_session_saw_is_gone():
    """Symptom: a read is DONE and lacks what its session has seen; no FLOOR_LOST.

    Sequence: on the primary's side of a partition a session reads (1, 3), which no
    majority has; term 2 starts at 3; it reads with an age, and a floor is learnt.
    Cause: SessionFloors takes the maximum (2, 3) of the learnt floor and the
    session's own (1, 3), so handle_lost_floor and is_satisfied never
    look at the session's; the
    answer's position then replaces it.
    """
    machine = WholeSystem()
    machine.start(seed=4)
    machine.cut_domains(first="d1", second="d0")
    machine.write_then_read(pick=323)
    machine.kill(seat="h2")
    machine.cut_domains(first="d0", second="d2")
    machine.write_then_read(pick=635)
    machine.wait(seconds=3.0)
    machine.read(pick=717, age=1.0, chunks=True, times=2)
    machine.teardown()


def test_token_of_a_write_covers_it_though_an_earlier_floor_is_lost():
    """Symptom: a caller roams with the token of its DONE write and doesn't see it.

    Sequence: a session reads (1, 2), which only the primary has; a promotion drops
    it; the session's write is DONE at (2, 3); its caller reads with that token on
    the old primary's side of a partition, where (1, 2) is all that is asked for.
    Cause: Requests._raise_floors leaves a lost floor in place so that FLOOR_LOST can
    be told, and so the token lacks the write. Lost and newest are two things.
    """
    fleet = Fleet()
    session = fleet.open("h1", "jamal")
    fleet.read(session)
    fleet.run(0.2)
    for name in ("a1", "a2"):
        fleet.crash(CORE, name, tell=True)
    fleet.write(fleet.open("h0", "hind"))
    fleet.run(0.02)
    first = fleet.read(session)
    fleet.run(1.5)
    assert len(first.answer.rows[1]) == 2
    fleet.isolate("d0")
    for name in ("a1", "a2"):
        fleet.recover(CORE, name)
    fleet.run(3.0)
    write = fleet.write(session)
    fleet.run(3.0)
    assert write.answer.outcome is Outcome.DONE
    fleet.read(fleet.open("h0", "jamal", token=write.answer.token))
    fleet.run(4.0)  # the oracle checks its content
