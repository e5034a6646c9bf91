#!/usr/bin/env bash
# Builds what the scripts of review/11 to review/15 start besides the program
# of the deploy file: the stand-ins, which are modules of this repository and
# use the libraries of the deploy build. Nothing is compiled or fetched; this
# checks that all of it can be loaded.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:.:review python3 -c '
import scene3
from agatewing.platform import standins
print("review: stand-ins loaded")
'
