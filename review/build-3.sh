#!/usr/bin/env bash
# Prepares what the scripts of the third review start besides the daemon. Their stand-ins are Python, of the standard library
# only, so nothing is compiled: this checks that they parse.
set -euo pipefail
cd "$(dirname "$0")"
python3 - standins-3/site3.py 1[1-5]/case.py <<'P'
import ast, os, sys
for path in sys.argv[1:]:
    if os.path.exists(path):
        with open(path) as f:
            ast.parse(f.read(), path)
P
test -x ../target/release/balsamjunctiond || { echo "build the daemon first, with the command in deploy/system.toml"; exit 1; }
