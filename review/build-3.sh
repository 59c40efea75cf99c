#!/usr/bin/env bash
# Prepares the stand-ins of the third review's scripts. They are Python programs without dependencies (3.11 or later, for tomllib), so that
# nothing is compiled; this checks that they can be run. The programs under test are those that deploy/system.toml builds into target/.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys, tomllib; sys.exit(sys.version_info < (3, 11))'
for source in lib3/*.py 1[1-5]/*.py; do
    [ -e "$source" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$source"
done
echo "the stand-ins of review 3 are ready"
