#!/usr/bin/env bash
# Builds what the scripts of the cases start beside the program of the deploy
# file. The stand-ins are Python modules (tools/gateway_standins.py and
# review/common/), so there is nothing to compile; this checks that they load.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=tools:review/common python3 -c \
  'import gateway_standins, case_tools'
test -x target/source/jujuberock/jujuberock ||
  echo "build the program with the build command of deploy/system.toml first"
