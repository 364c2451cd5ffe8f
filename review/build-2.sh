#!/usr/bin/env bash
# Build the stand-ins of the cases 4 to 8: after the build line of deploy/system.toml.
# They are Python, so they are compiled, and loaded once as the scripts load them.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
python3 -m compileall -q mallowpass review/scene.py
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="target/deps:.:review" python3 -S -c "import scene"
