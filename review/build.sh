#!/bin/sh
# Compile the stand-ins of the cases; they need only what deploy/build.sh has
# installed into target/deps.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps python3 -m compileall -q review/standins
PYTHONPATH=target/deps:review python3 -c 'import standins.cell'
