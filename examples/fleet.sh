#!/usr/bin/env bash
# Runs one deployment's fleet on this machine: the platform, its workers and
# order desks as stand-ins, and seven instances, each a process of its own.
#
#   examples/fleet.sh kaca_amanah|brazos [COMMAND...]
#
# With a command, runs it when the fleet is ready and then stops the fleet;
# without one, runs until interrupted. Needs `make build` first.
set -euo pipefail
cd "$(dirname "$0")/.."
export PATH="$PWD/bin:$PATH" NUTMEGWIND_KEY="${NUTMEGWIND_KEY:-first-day}"
case "${1:-}" in
kaca_amanah) base=8000 platform=7000 worker=drafter workers=20 ;;
brazos) base=18000 platform=17000 worker=shop workers=12 ;;
*) echo "usage: examples/fleet.sh kaca_amanah|brazos [COMMAND...]" >&2; exit 2 ;;
esac
deployment=$1
shift
instances=()
standins=()
# Instances stop first: they return their leases to the platform.
stop() {
	kill -TERM "${instances[@]}" 2>/dev/null || true
	for pid in "${instances[@]}"; do wait "$pid" || true; done
	kill -TERM "${standins[@]}" 2>/dev/null || true
	wait
}
trap stop EXIT
start() { "$@" >/dev/null 2>&1 & standins+=($!); }
start nutmegstand -listen "127.0.0.1:$platform" -name platform -writes 300 -reads 2000 platform
for n in $(seq 1 "$workers"); do
	start nutmegstand -listen "127.0.0.1:$((platform + 100 + n))" -name "$worker-$n" engine
done
for n in 1 2 3; do
	start nutmegstand -listen "127.0.0.1:$((platform + 200 + n))" -name "desk-$n" service
done
for n in 1 2 3 4 5 6 7; do
	nutmegwind -config "examples/$deployment/instance-$n.toml" >/dev/null 2>&1 &
	instances+=($!)
done
server="http://127.0.0.1:$((base + 181))"
for _ in $(seq 1 50); do
	nutmegctl -server "$server" status >/dev/null 2>&1 && break
	sleep 0.2
done
if ! "examples/$deployment/first_day.sh" -server "$server"; then
	echo "the first day's plan was refused" >&2
	exit 1
fi
nutmegctl -server "$server" status
if [ $# -gt 0 ]; then
	"$@"
else
	echo "callers: 127.0.0.1:$((base + 180)); operators: $server; interrupt to stop"
	sleep infinity
fi
