#!/bin/sh
# The stand-ins are Python 3 programs of the standard library alone: there is nothing to compile.
# Checks that this Python can read all of them.
set -eu
cd "$(dirname "$0")"
for program in common/*.py [1-5]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$program"
done
python3 -c 'import asyncio, tomllib; asyncio.timeout'
