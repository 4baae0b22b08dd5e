#!/bin/sh
# Install the dependencies and copy the shipped packages into target/, the only
# directory that a build may write to.
set -eu
stamp=target/deps/.installed
if [ ! -e "$stamp" ] || [ constraints.txt -nt "$stamp" ] \
    || [ deploy/requirements.txt -nt "$stamp" ]; then
    python3 -m pip install -q --disable-pip-version-check -U \
        --target target/deps -c constraints.txt -r deploy/requirements.txt
    touch "$stamp"
fi
for name in types telemetry durations http links platform jobs; do
    rm -rf "target/deps/currantreach_$name"
    cp -R "packages/currantreach-$name/src/currantreach_$name" target/deps/
done
rm -rf target/deps/currantreach_adapter
cp -R platform/src/currantreach_adapter target/deps/
