#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/review-2/. It needs no network and no library outside Go's own.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
cd review/kit2
CGO_ENABLED=0 GOFLAGS=-mod=mod GOWORK=off go build -o ../../target/review-2/ .
mv ../../target/review-2/kit2 ../../target/review-2/rig
