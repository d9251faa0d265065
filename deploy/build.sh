#!/usr/bin/env bash
# Installs the entry host and the libraries that it needs into target/deps.
set -eu
cd "$(dirname "$0")/.."
parts="platform libs/ports libs/http libs/process libs/coordination libs/routing libs/entry"
installed=target/deps/.installed
built=target/deps/.built
if [ ! -e "$installed" ] || [ deploy/requirements.txt -nt "$installed" ]; then
    python3 -m pip install -q -U --target target/deps -r deploy/requirements.txt
    touch "$installed"
fi
# Skip the copy if no source has changed: it removes files before it writes them again,
# and processes that another run has just started may need them.
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
