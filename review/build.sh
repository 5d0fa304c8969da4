#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this folder start: one program with a store, servers and clients.
set -euo pipefail
cd "$(dirname "$0")"
CGO_ENABLED=0 go build -buildvcs=false -o bin/kit ./kit
