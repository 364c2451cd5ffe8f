"""Settings in TOML, checked into frozen data classes.

All findings of a file are collected with their lines and reported together.
Durations become seconds and sizes bytes; docs/SETTINGS.md lists every key.
"""

from __future__ import annotations

from mallowpass.units import Address

from .findings import Finding, SettingsError
from .host import (
    FailureDomainSection,
    FleetSection,
    HostSection,
    HostSettings,
    LimitsSection,
    ListenSection,
    LogSection,
    MetricsSection,
    OperatorSection,
    PlatformSection,
    TimingSection,
    load_host_settings,
)
from .keys import OperatorKeys, load_fleet_key, load_operator_keys
from .service import (
    ClassDefinition,
    DatabaseDefinition,
    MemberDefinition,
    ObjectivesDefinition,
    ReadAgeDefinition,
    ServiceDefinition,
    ServiceLimits,
    load_service_definition,
)
from .standin import (
    FailureDomainPlace,
    GroupSection,
    LagSection,
    LatencySection,
    MemberSection,
    StandinPlatformSection,
    StandinSettings,
    load_standin_settings,
)

__all__ = [
    "Address",
    "ClassDefinition",
    "DatabaseDefinition",
    "FailureDomainPlace",
    "FailureDomainSection",
    "Finding",
    "FleetSection",
    "GroupSection",
    "HostSection",
    "HostSettings",
    "LagSection",
    "LatencySection",
    "LimitsSection",
    "ListenSection",
    "LogSection",
    "MemberDefinition",
    "MemberSection",
    "MetricsSection",
    "ObjectivesDefinition",
    "OperatorKeys",
    "OperatorSection",
    "PlatformSection",
    "ReadAgeDefinition",
    "ServiceDefinition",
    "ServiceLimits",
    "SettingsError",
    "StandinPlatformSection",
    "StandinSettings",
    "TimingSection",
    "load_fleet_key",
    "load_host_settings",
    "load_operator_keys",
    "load_service_definition",
    "load_standin_settings",
]
