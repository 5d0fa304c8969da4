#!/usr/bin/env bash
# Runs all tests. Tests and specs listed in KNOWN-RED.txt are run apart and printed, not counted:
#   test: PACKAGE TestName
#   spec: PACKAGE words of the spec's name
set -euo pipefail
cd "$(dirname "$0")/.."

known_red=()
known_specs=()
if [[ -f KNOWN-RED.txt ]]; then
	mapfile -t known_red < <(sed -n 's/^test: //p' KNOWN-RED.txt)
	mapfile -t known_specs < <(sed -n 's/^spec: //p' KNOWN-RED.txt)
fi

skip=""
for entry in "${known_red[@]}"; do
	skip="${skip:+$skip|}^${entry##* }\$"
done

# Packages with a spec that is known to be red are run apart without it, because other packages may not know ginkgo's flags.
apart=()
for entry in "${known_specs[@]}"; do
	apart+=("${entry%% *}")
done
packages=()
while read -r package; do
	relative="./${package#github.com/acacialift/acacialift/}"
	[[ " ${apart[*]} " == *" $relative "* ]] || packages+=("$package")
done < <(go list ./...)

go test -count=1 ${skip:+-skip "$skip"} "${packages[@]}"

mapfile -t apart_once < <(printf '%s\n' "${apart[@]}" | sort -u)
for package in "${apart_once[@]}"; do
	[[ -n "$package" ]] || continue
	# All known specs of the package are left out of the same run; a run for each would count the others.
	skips=()
	for entry in "${known_specs[@]}"; do
		[[ "${entry%% *}" != "$package" ]] || skips+=(-ginkgo.skip "${entry#* }")
	done
	go test -count=1 "$package" "${skips[@]}"
done
for entry in "${known_specs[@]}"; do
	echo "known red: $entry"
	go test -count=1 "${entry%% *}" -ginkgo.focus "${entry#* }" || true
done
for entry in "${known_red[@]}"; do
	echo "known red: $entry"
	go test -count=1 -run "^${entry##* }\$" "${entry%% *}" || true
done
