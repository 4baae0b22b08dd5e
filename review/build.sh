#!/bin/sh
# Check that the stand-ins of the cases load; they need only what
# deploy/build.sh has installed into target/deps.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:review PYTHONDONTWRITEBYTECODE=1 \
    python3 -c 'import standin_cell'
