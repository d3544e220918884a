#!/usr/bin/env bash
# Exits with 1 if a withdrawn key was accepted too late, 0 if not, 2 if the
# case couldn't run. TROUBLE=0: without the disruptions.
cd "$(dirname "$0")" || exit 2
exec python3 -B case.py
