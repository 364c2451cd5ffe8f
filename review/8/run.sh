#!/usr/bin/env bash
# Exit with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -u
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
export PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="target/deps:.:review"
exec timeout -k 2 118 python3 -S review/8/case.py
