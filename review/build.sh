#!/bin/sh
# The stand-ins need only the standard library of Python; this checks that they compile.
cd "$(dirname "$0")" || exit 2
for file in lib/*.py [1-5]/*.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 2
done
