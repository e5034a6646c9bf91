#!/bin/sh
# The stand-ins are Python sources of this project and need no compiler; this
# checks that all of them can be imported after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH="$PWD/target/deps:$PWD:$PWD/review" PYTHONDONTWRITEBYTECODE=1 \
    exec python3 -c "import common, agatewing.gatewayd"
