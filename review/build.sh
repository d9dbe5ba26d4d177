#!/bin/sh
# The stand-ins are scripts for Python's standard library: nothing is compiled, only checked.
cd "$(dirname "$0")" || exit 1
for file in lib/*.py [1-5]/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file" || exit 1
done
