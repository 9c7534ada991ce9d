#!/bin/sh
# Builds what the scripts of this review start beside the deployed programs. The stand-ins are
# Python programs without dependencies, so they are only checked; the deployed programs come from
# the build of deploy/system.toml.
set -e
cd "$(dirname "$0")"
for file in stand-in-3/*.py 11/case.py 12/case.py 13/case.py 14/case.py; do
    python3 -c "import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])" "$file"
done
for program in camphorspindle-fleet-control camphorspindle-fleet-entry; do
    test -x "../target/bin/$program" || echo "$program is not built yet: run the deploy build"
done
