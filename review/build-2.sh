#!/bin/bash
# Builds what the cases 6 to 10 start beside the gateway, which the build of the
# deploy file makes. All stand-ins are Python programs: those of a case stand in
# its folder, the project's own in tools/gateway_standins.py. So nothing is
# compiled; this checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -x target/source/jujuberock/jujuberock ] ||
  { echo "build-2: the build of the deploy file is missing" >&2; exit 1; }
shopt -s nullglob
for file in tools/gateway_standins.py review/{6,7,8,9,10}/*.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
echo "build-2: ready"
