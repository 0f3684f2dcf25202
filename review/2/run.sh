#!/bin/bash
# Four nodes before three servers in another zone, 8 ms away. Requests of a class that is unsafe to repeat; a fifth of them
# finds a server's queue full and is turned away.
# TROUBLE=1 (the default): for 2 s answers that turn away come twice, the second one 20 ms after the first. If
# that breaks nothing, once more after 65 s.
# Exit code: 0 nothing ran twice, 1 something did, 2 the case could not run.
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

bin/review-standin copies "$dir" "$here/record.txt" "${TROUBLE:-1}" &
standin=$!
pids+=("$standin")
for _ in $(seq 100); do [ -f "$dir/written" ] && break; sleep 0.1; done
[ -f "$dir/written" ] || exit 2
for n in n1 n2 n3 n4; do
	LB_CONFIG=$dir/$n.json LB_NAME=$n /bin/sh -c "$run" >"$dir/$n.log" 2>&1 &
	pids+=($!)
done
wait "$standin"
code=$?
cat "$dir"/n?.log >>"$here/record.txt"
exit $code
