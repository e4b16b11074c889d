#!/bin/sh
# Exits with 1 if a server of another service ran a request, 0 if none did, 2 if it couldn't run.
cd "$(dirname "$0")/../.." || exit 2
exec python3 review/2/run.py
