"""Settings of one host."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from mallowpass.errors import ErrorCode
from mallowpass.units import Address, format_duration

from . import kinds
from .keys import KeySource, _check_one_of
from .kinds import Section
from .reader import read_file, read_text

if TYPE_CHECKING:
    from .findings import KeyPath
    from .reader import Checker

__all__ = [
    "FailureDomainSection",
    "FleetSection",
    "HostSection",
    "HostSettings",
    "LimitsSection",
    "ListenSection",
    "LogSection",
    "MetricsSection",
    "OperatorSection",
    "PlatformSection",
    "TimingSection",
    "load_host_settings",
]


@dataclass(frozen=True, slots=True)
class HostSection(Section):
    """Say who this host is.

    The seat is this host's place among its failure domain's hosts, from 0. Shares
    that must never overlap, such as of connections, go by seat; a replacement takes
    over the seat of the host that it replaces.
    """

    name: str = kinds.name()
    failure_domain: str = kinds.name()
    seat: int = kinds.integer(minimum=0)


@dataclass(frozen=True, slots=True)
class ListenSection(Section):
    """Say where this host listens."""

    callers: Address = kinds.address()
    operators: Address = kinds.address()
    peers: Address = kinds.address()

    def check(self, checker: Checker, path: KeyPath) -> None:
        """Find two listeners on one address."""
        used = [((*path, key), getattr(self, key)) for key in self.__slots__]
        fixed = [(place, where) for place, where in used if where.port]
        checker.add_duplicates(fixed, "address")


@dataclass(frozen=True, slots=True)
class PlatformSection(Section):
    """Say where the platform is and this host's share of calls to it.

    The defaults keep eight hosts under half of the several hundred writes and two
    thousand reads a second that the platform handles for everybody.
    """

    address: Address = kinds.address()
    reads_per_second: float = kinds.number(100.0, minimum=0.1)
    writes_per_second: float = kinds.number(15.0, minimum=0.1)
    call_timeout: float = kinds.duration("1s", minimum="1ms")


@dataclass(frozen=True, slots=True)
class FailureDomainSection(Section):
    """Say how many seats for hosts a failure domain has."""

    name: str = kinds.name()
    region: str = kinds.name()
    hosts: int = kinds.integer(maximum=100_000)


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetSection(KeySource):
    """Say what all hosts share: their key, failure domains and first contacts."""

    failure_domains: tuple[FailureDomainSection, ...] = kinds.tables(
        FailureDomainSection, minimum=1
    )
    seeds: tuple[Address, ...] = kinds.address_list()

    def check(self, checker: Checker, path: KeyPath) -> None:
        """Find a key given not once, and failure domains or seeds given twice."""
        KeySource.check(self, checker, path)
        domains = [
            ((*path, "failure_domains", index, "name"), domain.name)
            for index, domain in enumerate(self.failure_domains)
        ]
        checker.add_duplicates(domains, "failure domain")
        seeds = [
            ((*path, "seeds", index), seed) for index, seed in enumerate(self.seeds)
        ]
        checker.add_duplicates(seeds, "seed")


@dataclass(frozen=True, slots=True, kw_only=True)
class OperatorSection(KeySource):
    """Say who may operate the fleet, by a key or by the SHA-256 of one."""

    name: str = kinds.name()
    key_sha256: str = kinds.text(
        r"[0-9a-f]{64}", "64 small hexadecimal digits", default=""
    )

    def check(self, checker: Checker, path: KeyPath) -> None:
        """Find a key that is given nowhere or twice."""
        keys = ("key_file", "key_environment", "key_sha256")
        _check_one_of(checker, path, self, keys)


@dataclass(frozen=True, slots=True)
class LogSection(Section):
    """Say how to log."""

    format: str = kinds.choice("keyvalue", "json")
    level: str = kinds.choice("info", "debug", "warning", "error")


@dataclass(frozen=True, slots=True)
class MetricsSection(Section):
    """Say where metrics go and how often."""

    exporter: str = kinds.choice("none", "console")
    interval: float = kinds.duration("10s", minimum="100ms")


@dataclass(frozen=True, slots=True)
class LimitsSection(Section):
    """Bound what callers may take of this host."""

    message_size: int = kinds.size("4MiB")
    answer_size: int = kinds.size("16MiB")
    sessions: int = kinds.integer(20_000)
    requests_in_flight: int = kinds.integer(10_000)
    transaction_idle: float = kinds.duration("10s", minimum="10ms")
    drain: float = kinds.duration("30s")


@dataclass(frozen=True, slots=True)
class TimingSection(Section):
    """Say how often to look at others and how long to wait for them."""

    probe_interval: float = kinds.duration("100ms", minimum="1ms")
    detection: float = kinds.duration("400ms", minimum="1ms")
    promise_timeout: float = kinds.duration("250ms", minimum="1ms")
    heartbeat: float = kinds.duration("250ms", minimum="1ms")
    suspicion: float = kinds.duration("1s", minimum="1ms")
    configuration_poll: float = kinds.duration("1s", minimum="10ms")
    retry_backoff_min: float = kinds.duration("10ms", minimum="1ms")
    retry_backoff_max: float = kinds.duration("1s", minimum="1ms")

    def check(self, checker: Checker, path: KeyPath) -> None:
        """Find periods that do not fit into the time they serve."""
        # One lost probe or heartbeat would else count as a failure, and a primary
        # would be replaced for a single dropped packet.
        _check_shorter(checker, path, self, "probe_interval", "detection")
        _check_shorter(checker, path, self, "heartbeat", "suspicion")
        if self.retry_backoff_min > self.retry_backoff_max:
            least = format_duration(self.retry_backoff_min)
            message = f"is less than retry_backoff_min, {least}"
            place = (*path, "retry_backoff_max")
            checker.add(ErrorCode.INVALID_VALUE, place, message)


@dataclass(frozen=True, slots=True)
class HostSettings(Section):
    """Hold the settings of one host; durations are seconds and sizes bytes."""

    host: HostSection = kinds.table(HostSection)
    listen: ListenSection = kinds.table(ListenSection)
    platform: PlatformSection = kinds.table(PlatformSection)
    fleet: FleetSection = kinds.table(FleetSection)
    operators: tuple[OperatorSection, ...] = kinds.tables(OperatorSection)
    log: LogSection = kinds.table(LogSection, required=False)
    metrics: MetricsSection = kinds.table(MetricsSection, required=False)
    limits: LimitsSection = kinds.table(LimitsSection, required=False)
    timing: TimingSection = kinds.table(TimingSection, required=False)

    @classmethod
    def from_text(cls, text: str, name: str = "<text>") -> HostSettings:
        """Return the settings of a TOML text; `name` stands for it in findings."""
        return read_text(cls, text, name)

    @property
    def failure_domain(self) -> FailureDomainSection:
        """Return the failure domain that this host is in."""
        return self._domains()[self.host.failure_domain]

    @property
    def hosts(self) -> int:
        """Return the number of seats in all failure domains."""
        return sum(domain.hosts for domain in self.fleet.failure_domains)

    @property
    def seat_in_fleet(self) -> int:
        """Return this host's seat counted over all failure domains in their order."""
        seat = self.host.seat
        for domain in self.fleet.failure_domains:
            if domain.name == self.host.failure_domain:
                break
            seat += domain.hosts
        return seat

    def check(self, checker: Checker, path: KeyPath) -> None:
        """Find a host outside the fleet, and operators of the same name."""
        self._check_place(checker)
        names = [
            (("operators", index, "name"), operator.name)
            for index, operator in enumerate(self.operators)
        ]
        checker.add_duplicates(names, "operator")

    def _check_place(self, checker: Checker) -> None:
        domains = self._domains()
        domain = domains.get(self.host.failure_domain)
        if domain is None:
            checker.add_unknown_reference(
                ("host", "failure_domain"),
                self.host.failure_domain,
                list(domains),
                "failure domain",
            )
        # Two hosts that count themselves beyond the seats would share connections
        # that were never divided for them, and go over the database's limit.
        elif self.host.seat >= domain.hosts:
            message = f"{self.host.seat} is not below the {domain.hosts} seats of "
            place = ("host", "seat")
            checker.add(ErrorCode.INVALID_VALUE, place, message + domain.name)

    def _domains(self) -> dict[str, FailureDomainSection]:
        return {domain.name: domain for domain in self.fleet.failure_domains}


def load_host_settings(path: str | Path) -> HostSettings:
    """Return the settings of a file; raise SettingsError with every finding."""
    return read_file(HostSettings, path)


def _check_shorter(
    checker: Checker, path: KeyPath, section: Section, period: str, limit: str
) -> None:
    if 2 * getattr(section, period) > getattr(section, limit):
        message = f"is less than twice {period}"
        checker.add(ErrorCode.INVALID_VALUE, (*path, limit), message)
