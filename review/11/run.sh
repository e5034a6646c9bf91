#!/usr/bin/env bash
# Exit status: 1 rule broken, 0 rule held, 2 could not run. TROUBLE=0: nothing is cut off.
cd "$(dirname "$0")/../.."
export PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:.:review
exec python3 review/11/case.py
