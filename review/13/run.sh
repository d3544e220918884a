#!/usr/bin/env bash
# Exits with 1 if the request crashed too many workers, 0 if not, 2 if the
# case couldn't run. TROUBLE=0: without the disruptions.
cd "$(dirname "$0")" || exit 2
exec python3 -B case.py
