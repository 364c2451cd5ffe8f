"""Hypothesis profiles, chosen by the MALLOWPASS_HYPOTHESIS_PROFILE variable."""

from __future__ import annotations

import os

from hypothesis import HealthCheck, settings

PROFILE_VARIABLE = "MALLOWPASS_HYPOTHESIS_PROFILE"
CI_EXAMPLES = 60
FUZZ_EXAMPLES = 2_000
FUZZ_STEPS = 200

# Verdicts must not hang on how busy the machine is: no deadline, no timed health
# check, and no example database that lets one run steer the next.
_TIMELESS = settings(
    deadline=None,
    database=None,
    print_blob=True,
    suppress_health_check=[HealthCheck.too_slow],
)

settings.register_profile(
    "ci", parent=_TIMELESS, derandomize=True, max_examples=CI_EXAMPLES
)
# Seeded on the command line (--hypothesis-seed), which derandomize would override.
settings.register_profile(
    "fuzz",
    parent=_TIMELESS,
    derandomize=False,
    max_examples=FUZZ_EXAMPLES,
    stateful_step_count=FUZZ_STEPS,
)
settings.load_profile(os.environ.get(PROFILE_VARIABLE, "ci"))
