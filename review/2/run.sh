#!/bin/bash
# One node before twelve servers in four racks. Requests carry a key, whose repeats the servers of one rack drop for 10 s.
# Three in a thousand answers are a 500, which the request may have run before.
# TROUBLE=1 (the default): three times, 12 s apart, four servers crash, and another one, of another rack, starts at the
# address of each. Discovery tells of the new one first and of the old one's end some seconds later.
# Exit code: 0 no keyed request ran twice, 1 one did, 2 the case could not run.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
dir=$(mktemp -d) || exit 2
pids=()
finish() {
	for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null; done
	wait 2>/dev/null
	rm -rf "$dir"
}
trap finish EXIT
[ -x bin/review-standin ] && [ -x bin/curlewring ] || { echo "build first" >&2; exit 2; }
run=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' deploy/balancer.toml)

bin/review-standin replace "$dir" "$here/record.txt" "${TROUBLE:-1}" &
standin=$!
pids+=("$standin")
for _ in $(seq 100); do [ -f "$dir/written" ] && break; sleep 0.1; done
[ -f "$dir/written" ] || exit 2
LB_CONFIG=$dir/n1.json LB_NAME=n1 /bin/sh -c "$run" >"$dir/n1.log" 2>&1 &
pids+=($!)
wait "$standin"
code=$?
cat "$dir/n1.log" >>"$here/record.txt"
exit $code
