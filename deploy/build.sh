#!/usr/bin/env bash
# Puts the entry host and the libraries that it runs on below target/deps.
set -eu
cd "$(dirname "$0")/.."
if [ ! -e target/deps/.installed ] || [ deploy/requirements.txt -nt target/deps/.installed ]; then
    python3 -m pip install -q -U --target target/deps -r deploy/requirements.txt
    touch target/deps/.installed
fi
for part in platform libs/ports libs/process libs/routing libs/entry; do
    for package in "$part"/gypsumusher_*/; do
        name=$(basename "$package")
        rm -rf "target/deps/$name"
        cp -r "$package" "target/deps/$name"
    done
done
python3 -m compileall -q target/deps/gypsumusher_*
