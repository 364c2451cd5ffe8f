"""The client of the platform: rate limit, queue and circuit breaker."""

from __future__ import annotations

from mallowpass.core import effects as out
from mallowpass.core import events as inn
from mallowpass.core.node import FailureDomain, HostIdentity, Node, Tuning
from mallowpass.core.platformcalls import (
    PlatformFailed,
    ReadRow,
    RowRead,
    RowWritten,
    ScanRows,
    WriteRow,
)
from mallowpass.core.systems.platformclient import (
    BURST_MIN,
    CircuitState,
    PlatformClient,
)
from mallowpass.errors import ErrorCode

READ = ReadRow("services", "a")
WRITE = WriteRow("services", "a", 0, b"")


class Client:
    """A platform client with a simulated clock and scripted replies."""

    def __init__(self, hosts: int = 8) -> None:
        domain = FailureDomain("casa", "r", hosts)
        identity = HostIdentity("h", "casa", 0, "10.0.0.1:1", 1, (domain,))
        self.node = Node(identity, Tuning(), 1)
        self.node.start([PlatformClient])
        self.system = self.node.system(PlatformClient)
        self.now = 0.0
        self.sent: list[out.CallPlatform] = []
        self.replies: list = []

    def call(self, request, urgent=False):
        self._take(self.node.wake(self.now))
        self.system.call(request, self.replies.append, urgent)
        self._take(self.node._take_effects())

    def reply(self, number, reply):
        event = inn.PlatformReplied(self.sent[number].call, reply)
        self._take(self.node.handle(self.now, event))

    def run(self, seconds):
        end = self.now + seconds
        while (due := self.node.next_wake) is not None and due <= end:
            self.now = max(due, self.now)
            self._take(self.node.wake(self.now))
        self.now = end

    def _take(self, effects):
        self.sent += [e for e in effects if isinstance(e, out.CallPlatform)]

    def fail_until_open(self):
        while self.system.circuit_state is CircuitState.CLOSED:
            self.run(0.5)
            self.call(WriteRow("t", str(len(self.sent)), 0, b""))
            self.reply(-1, PlatformFailed("down"))


def test_calls_stay_within_the_hosts_share_of_the_budget():
    client = Client(hosts=750)  # 1500 reads a second of the fleet: 2 for each host
    for n in range(120):
        client.call(ScanRows("services", n))
        client.run(0.25)
        client.reply(-1, RowRead(None))
    assert 55 <= len(client.sent) <= 2 * 30 + BURST_MIN
    client.run(4)
    codes = [getattr(reply, "code", "") for reply in client.replies]
    assert codes.count(ErrorCode.PLATFORM_BUDGET_SPENT.name) > 40
    assert len(codes) == 120


def test_equal_queued_reads_are_sent_once():
    client = Client(hosts=1_500)  # one read a second
    for n in range(4):
        client.call(ScanRows("services", n))
    client.call(READ)
    client.call(READ, urgent=True)
    client.run(0.9)
    for number in range(4):
        client.reply(number, RowRead(None))
    client.run(0.2)
    assert [c.request for c in client.sent[4:]] == [READ]
    client.reply(4, RowRead(None))
    assert len(client.replies) == 6


def test_a_read_is_not_coalesced_with_one_in_flight():
    """A read-back after a lost answer does not show the write.

    An equal read was sent before the write. The read-back must not be answered with the
    reply to that read.
    """
    client = Client()
    client.call(READ)
    client.call(READ)
    assert len(client.sent) == 2


def test_urgent_calls_go_first_and_writes_do_not_delay_reads():
    client = Client(hosts=1_500)  # one read a second, a write in 7.5 seconds
    for n in range(6):
        client.call(ScanRows("services", n))
    for n in range(6):
        client.call(WriteRow("services", str(n), 0, b""), urgent=True)
    client.call(READ, urgent=True)
    client.run(1.2)
    reads = [c.request for c in client.sent if not isinstance(c.request, WriteRow)]
    assert reads[4] == READ


def test_every_call_is_answered_once_and_late_replies_are_dropped():
    """An operator waits for ever, or a call gets the late reply of another call.

    The adapter never replies, or replies after the timeout of the call. The timeout
    must answer the call, and a later reply must be dropped.
    """
    client = Client()
    client.call(WRITE)
    client.run(3)
    assert [type(r) for r in client.replies] == [PlatformFailed]
    assert client.replies[0].ambiguous
    client.reply(0, RowWritten(True, None))
    assert len(client.replies) == 1


def test_an_outage_opens_the_circuit_and_a_probe_closes_it():
    """A recovering platform is overloaded, or each call waits for its timeout.

    The platform is down while polls and operators continue to call. After several
    failures, calls must fail at once, and only probes must be sent.
    """
    client = Client()
    client.fail_until_open()
    sent = len(client.sent)
    client.call(READ)
    assert len(client.sent) == sent
    assert client.replies[-1].code == ErrorCode.PLATFORM_CIRCUIT_OPEN.name
    assert not client.replies[-1].ambiguous
    for _ in range(400):
        client.run(0.25)
        client.call(READ)
    # Only probes are sent, at growing intervals.
    assert len(client.sent) - sent < 30
    client.run(10)
    client.call(READ)
    client.reply(-1, RowRead(None))
    assert client.system.circuit_state is CircuitState.CLOSED


def test_an_operators_call_probes_an_open_circuit():
    client = Client()
    client.fail_until_open()
    sent = len(client.sent)
    client.call(READ, urgent=True)
    assert len(client.sent) == sent + 1
    client.call(WRITE, urgent=True)
    assert len(client.sent) == sent + 1
