#!/usr/bin/env bash
# Runs the case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
export PYTHONDONTWRITEBYTECODE=1
exec python3 "$(dirname "$0")/case.py"
