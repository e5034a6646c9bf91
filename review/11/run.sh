#!/usr/bin/env bash
# Exit status: 1 rule broken, 0 rule held, 2 could not run. TROUBLE=0: no machine freezes.
cd "$(dirname "$0")/../.."
export PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:.:review
python3 -c "import scene3" || exit 2
exec python3 review/11/case.py
