#!/bin/sh
# Installs the daemon and its dependencies into target/deps.
set -eu
if ! [ target/.libraries -nt requirements.txt ]; then
    python3 -m pip install -q -U --target target/deps -r requirements.txt
    touch target/.libraries
fi
rm -rf target/deps/bramleyglade_*
for package in core adapters daemon; do
    cp -R "packages/$package/src/." target/deps/
done
cp -R platform/src/. target/deps/
