#!/bin/bash
# The stand-ins are Python files that need the standard library only: compile them
# to see that they are whole, and write nothing.
cd "$(dirname "$0")" || exit 1
for file in *.py */*.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 1
done
