#!/usr/bin/env bash
# Prepares the stand-ins of cases 6 to 10: compiles the project's own and those in lib2/.
# The build of the deploy file comes first; it puts the project and its libraries into
# target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q target/deps/amaranthbay/platform/tests
PYTHONPATH=target/deps:review/lib2 PYTHONDONTWRITEBYTECODE=1 python3 -P -c "import harness"
echo "the stand-ins are ready"
