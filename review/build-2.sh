#!/usr/bin/env bash
# Builds what the scripts of the second review start, after the build of the
# deploy file: the project's own stand-ins and those beside the cases. All of
# it is Python that runs with the libraries in target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD/target/deps:$PWD:$PWD/review" PYTHONDONTWRITEBYTECODE=1
python3 -c "
import ast, pathlib
for path in (pathlib.Path('review/stage.py'),):
    ast.parse(path.read_text(), str(path))
for number in range(6, 11):
    path = pathlib.Path('review', str(number), 'case.py')
    if path.exists():
        ast.parse(path.read_text(), str(path))
import stage, agatewing.gatewayd, agatewing.platform.standins
print('the stand-ins of the second review can be started')
"
