#!/bin/sh
# Builds the stand-ins of the second review's cases: plain Python, run by the interpreter that the deploy
# file's build leaves. Nothing depends on the kind of machine.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/lib2
for number in 6 7 8 9 10; do
    if test -d "review/$number"; then .venv/bin/python -m compileall -q "review/$number"; fi
done
