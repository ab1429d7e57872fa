#!/bin/sh
# Builds the stand-ins of the cases: plain Python, run by the interpreter that the deploy file's build leaves.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
