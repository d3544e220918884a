#!/usr/bin/env bash
# Prepares what the scripts of review/11 to review/15 start. Their stand-ins are
# Python programs beside the cases and in tools/, so there is nothing to compile;
# the gateway itself comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
test -x target/source/jujuberock/jujuberock
