#!/bin/sh
# Builds the stand-ins that the scripts of the third review start: target/review-3 holds the store, the servers and the clients.
# It needs Go and nothing else, and no network.
set -e
cd "$(dirname "$0")/kit3"
go build -o ../../target/review-3 .
