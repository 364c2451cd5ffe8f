#!/bin/sh
# Prepare the stand-ins of the scripts, after the build line of deploy/system.toml.
# They are Python: nothing is compiled, and they need no package but those in target/deps.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH="target/deps:review:." python3 -c "import rig, database"
