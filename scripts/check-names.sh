#!/usr/bin/env bash
# Fails if a name of the users' platform stands outside the adapter: headers, store keys and paths belong in platform/
# and deploy/ alone. Tests that speak the wire of callers and endpoints may use them.
set -euo pipefail
cd "$(dirname "$0")/.."

names='Acacialift-(Request|Deadline|Expect|Response|Tenant|Model|Token|Prompt|Not|Helpers|Instance|Cold|Weight|Length)'
names+='|Api-Key|At-Server|/v1/kv-|/v1/order|/v1/report|/v1/ready|op/config|op/evacuate|traffic-split|kv-capacity|heartbeat-ms'

if found=$(git grep -nE "$names" -- 'cmd/*.go' 'internal/*.go' ':!*_test.go'); then
	echo "names of the platform outside platform/:"
	echo "$found"
	exit 1
fi
