#!/usr/bin/env bash
# Puts the entry host and the libraries that it runs on below target/deps.
set -eu
cd "$(dirname "$0")/.."
parts="platform libs/ports libs/http libs/process libs/coordination libs/routing libs/entry"
installed=target/deps/.installed
built=target/deps/.built
if [ ! -e "$installed" ] || [ deploy/requirements.txt -nt "$installed" ]; then
    python3 -m pip install -q -U --target target/deps -r deploy/requirements.txt
    touch "$installed"
fi
# Unchanged sources are left alone: a build must not take files away from processes that
# another run has just started.
if [ -e "$built" ] && [ -z "$(find $parts deploy -name '*.py' -newer "$built" -print -quit)" ]; then
    exit 0
fi
for part in $parts; do
    for package in "$part"/gypsumusher_*/; do
        name=$(basename "$package")
        rm -rf "target/deps/$name"
        cp -r "$package" "target/deps/$name"
    done
done
python3 -m compileall -q target/deps/gypsumusher_*
touch "$built"
