#!/usr/bin/env bash
# Builds everything, starts a small repair service as separate processes on the loopback interface,
# sends load, kills one target and then one router under load, and prints the results that callers
# received and the check of the histories. Exits 0 only when no guarantee is violated.
#
#   tools/demo.sh [SECONDS]         duration of the load; 12 by default
set -euo pipefail
cd "$(dirname "$0")/.."
tools/build.sh build
. tools/fleet.sh

seconds="${1:-12}"
fleet_init "$(mktemp -d "${TMPDIR:-/tmp}/mimosavalve-demo.XXXXXX")"
fleet_start_repair_service 2
echo "started: 1 store, 1 host list, ${#fleet_target_line[@]} targets, ${#fleet_router_line[@]} routers"
fleet_write_load 400 $((seconds * 1000))

"$fleet_bin/mvload" --config "$fleet_dir/load.yaml" >"$fleet_dir/load.out" &
load_pid=$!
sleep $((seconds / 3))
echo "killing target status-bagmati-a-1"
fleet_kill status-bagmati-a-1
sleep $((seconds / 3))
echo "killing router router-bagmati-a-1"
fleet_kill router-bagmati-a-1
wait "$load_pid"
cat "$fleet_dir/load.out"
echo
verdict=0
"$fleet_bin/mvcheck" --homes "$fleet_dir/homes.yaml" "$fleet_dir"/*.history || verdict=$?
if [ "$verdict" -eq 0 ]; then
  echo "demo: no guarantee was violated"
  fleet_stop
  rm -rf "$fleet_dir"
else
  echo "demo: FAILED; histories and logs are in $fleet_dir"
fi
exit "$verdict"
