#!/usr/bin/env bash
# The stand-ins are Python files of this folder (standard library only) and need no build.
# What a script starts of the project's own is the program of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
test -x target/release/wisteriahitch-platform
python3 -m py_compile review/lib/standins.py
