#!/bin/bash
# The stand-ins of cases 4 to 8 are Python files that need the standard library
# only: compile them in memory to see that they are whole.
cd "$(dirname "$0")" || exit 1
for file in second/*.py [4-8]/*.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 1
done
