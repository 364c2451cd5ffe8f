"""Settings of the stand-ins for the platform and the databases."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from mallowpass.errors import ErrorCode
from mallowpass.units import Address

from . import kinds
from .kinds import Section
from .reader import read_file, read_text

if TYPE_CHECKING:
    from .findings import KeyPath
    from .reader import Checker

__all__ = [
    "FailureDomainPlace",
    "GroupSection",
    "LagSection",
    "LatencySection",
    "MemberSection",
    "StandinPlatformSection",
    "StandinSettings",
    "load_standin_settings",
]


@dataclass(frozen=True, slots=True)
class StandinPlatformSection(Section):
    """Say where the platform's stand-in listens and how it behaves."""

    listen: Address = kinds.address()
    latency: float = kinds.duration("2ms")
    host_list_lag: float = kinds.duration("5s")


@dataclass(frozen=True, slots=True)
class FailureDomainPlace(Section):
    """Say in which region a failure domain is."""

    name: str = kinds.name()
    region: str = kinds.name()


@dataclass(frozen=True, slots=True)
class MemberSection(Section):
    """Say where a group's member is."""

    name: str = kinds.name()
    failure_domain: str = kinds.name()
    listen: Address = kinds.address()


@dataclass(frozen=True, slots=True)
class LagSection(Section):
    """Say how far replicas lag: a one-way delay, then a log-normal apply lag."""

    median: float = kinds.duration("5ms")
    p99: float = kinds.duration("50ms")
    transport: float = kinds.duration("1ms")

    def check(self, checker: Checker, path: KeyPath) -> None:
        """Find percentiles in the wrong order."""
        if self.p99 < self.median:
            place = (*path, "p99")
            checker.add(ErrorCode.INVALID_VALUE, place, "is less than the median")


@dataclass(frozen=True, slots=True)
class GroupSection(Section):
    """Describe one database's group of members; slots are its members."""

    name: str = kinds.name()
    connections: int = kinds.integer(maximum=100_000)
    slots: int = kinds.integer(maximum=15)
    members: tuple[MemberSection, ...] = kinds.tables(
        MemberSection, key="member", minimum=1
    )
    concurrent_statements: int = kinds.integer(8, maximum=100_000)
    setup_time: float = kinds.duration("12ms")
    service_time: float = kinds.duration("1ms")
    lag: LagSection = kinds.table(LagSection, required=False)

    def check(self, checker: Checker, path: KeyPath) -> None:
        """Find members given twice, or more or fewer than slots."""
        names = [
            ((*path, "member", index, "name"), member.name)
            for index, member in enumerate(self.members)
        ]
        checker.add_duplicates(names, "member")
        if len(self.members) != self.slots:
            message = f"{self.slots} slots for {len(self.members)} members"
            checker.add(ErrorCode.INVALID_VALUE, (*path, "slots"), message)


@dataclass(frozen=True, slots=True)
class LatencySection(Section):
    """Say how long a message takes one way."""

    within_domain: float = kinds.duration("200us")
    between_domains: float = kinds.duration("1ms")
    between_regions: float = kinds.duration("12ms")
    client: float = kinds.duration("1ms")


@dataclass(frozen=True, slots=True)
class StandinSettings(Section):
    """Hold the settings of the stand-ins; durations are seconds."""

    platform: StandinPlatformSection = kinds.table(StandinPlatformSection)
    failure_domains: tuple[FailureDomainPlace, ...] = kinds.tables(
        FailureDomainPlace, key="failure_domain", minimum=1
    )
    groups: tuple[GroupSection, ...] = kinds.tables(
        GroupSection, key="group", minimum=1
    )
    latency: LatencySection = kinds.table(LatencySection, required=False)

    @classmethod
    def from_text(cls, text: str, name: str = "<text>") -> StandinSettings:
        """Return the settings of a TOML text; `name` stands for it in findings."""
        return read_text(cls, text, name)

    def delay(self, failure_domain: str, other: str) -> float:
        """Return the one-way latency between two failure domains, in seconds."""
        if failure_domain == other:
            return self.latency.within_domain
        regions = {domain.name: domain.region for domain in self.failure_domains}
        if regions[failure_domain] == regions[other]:
            return self.latency.between_domains
        return self.latency.between_regions

    def check(self, checker: Checker, path: KeyPath) -> None:
        """Find names and addresses given twice and undeclared failure domains."""
        domains = [
            (("failure_domain", index, "name"), domain.name)
            for index, domain in enumerate(self.failure_domains)
        ]
        groups = [
            (("group", index, "name"), group.name)
            for index, group in enumerate(self.groups)
        ]
        checker.add_duplicates(domains, "failure domain")
        checker.add_duplicates(groups, "group")
        self._check_members(checker, [domain for _, domain in domains])

    def _check_members(self, checker: Checker, domains: list[str]) -> None:
        used = [(("platform", "listen"), self.platform.listen)]
        for index, group in enumerate(self.groups):
            for at, member in enumerate(group.members):
                path = ("group", index, "member", at)
                used.append(((*path, "listen"), member.listen))
                checker.add_unknown_reference(
                    (*path, "failure_domain"),
                    member.failure_domain,
                    domains,
                    "failure domain",
                )
        fixed = [(place, where) for place, where in used if where.port]
        checker.add_duplicates(fixed, "address")


def load_standin_settings(path: str | Path) -> StandinSettings:
    """Return the settings of a file; raise SettingsError with every finding."""
    return read_file(StandinSettings, path)
