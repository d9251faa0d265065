#!/usr/bin/env bash
# Compiles the stand-ins of the cases. They use Python's standard library only, so that
# nothing is installed; the entry host comes from the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review/common
