#!/bin/sh
# Builds what the scripts of cases 6 to 10 start, after the build of the deploy
# file. Their stand-ins are Python files without a build step of their own; this
# checks that they compile and find the libraries of the deploy build.
cd "$(dirname "$0")/.." || exit 2
for file in review/cell_2.py review/6/case.py review/7/case.py \
    review/8/case.py review/9/case.py review/10/case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' \
        "$file" || exit 1
done
PYTHONPATH=target/deps PYTHONDONTWRITEBYTECODE=1 python3 -c 'import aiohttp' || exit 1
