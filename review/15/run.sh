#!/usr/bin/env bash
# Runs the case; TROUBLE=0 leaves out the disruption. See claim.txt.
cd "$(dirname "$0")" && PYTHONDONTWRITEBYTECODE=1 exec python3 case.py
