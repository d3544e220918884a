#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
# With TROUBLE=0 the case runs without its disruption.
export TROUBLE="${TROUBLE:-1}"
# The program of the deploy file, or else that of tools/build.
JUJUBEROCK_BUILD="$PWD/target"
[ -x "$JUJUBEROCK_BUILD/source/jujuberock/jujuberock" ] ||
  JUJUBEROCK_BUILD="$PWD/build"
export JUJUBEROCK_BUILD PYTHONDONTWRITEBYTECODE=1
export PYTHONPATH="$PWD/tools:$PWD/review/common"
exec timeout -k 5 118 python3 review/1/case.py
