#!/usr/bin/env bash
# Builds everything, starts the repair service in small as separate processes on the loopback
# interface, sends real load, kills one target and one router in the middle, and prints what the
# callers saw and what the histories show. Exits 0 only when no guarantee is violated.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/build.sh build
. tools/fleet.sh

seconds="${1:-12}"
fleet_init "$(mktemp -d "${TMPDIR:-/tmp}/mimosavalve-demo.XXXXXX")"
fleet_config="$PWD/examples/repair-service/fleet.yaml"

fleet_start_store
for entry in "${fleet_domains[@]}"; do
  region="${entry%%:*}" domain="${entry##*:}"
  for number in 1 2; do
    fleet_start_target "status-$domain-$number" status "$region" "$domain" true
    fleet_start_target "orders-$domain-$number" orders "$region" "$domain" true
  done
  fleet_start_target "calibration-$domain-1" calibration "$region" "$domain" false
done
fleet_start_hosts
routers=()
for entry in "${fleet_domains[@]}"; do
  region="${entry%%:*}" domain="${entry##*:}"
  routers+=("router-$domain")
  fleet_start_router "router-$domain" "$region" "$domain" "$fleet_config"
done
routers+=(router-bagmati-a2 router-gandaki-a2)
fleet_start_router router-bagmati-a2 bagmati bagmati-a "$fleet_config"
fleet_start_router router-gandaki-a2 gandaki gandaki-a "$fleet_config"
for name in "${routers[@]}"; do fleet_list_router "$name"; done
for name in "${routers[@]}"; do fleet_wait_ready "$name"; done
echo "started: 1 store, 1 host list, ${#fleet_target_line[@]} targets, ${#routers[@]} routers"

{
  echo "routers:"
  for name in "${routers[@]}"; do
    read -r _ region _ _ <<<"${fleet_router_line[$name]}"
    printf '  - {address: "%s", region: %s}\n' "$(fleet_router_address "$name" callers)" "$region"
  done
  cat <<YAML
mode: open
rate: 400
connections: 64
duration_ms: $((seconds * 1000))
timeout_ms: 3000
repeats: 5
repeat_wait_ms: 100
seed: 20261204
history_file: $fleet_dir/load.history
keys: {count: 2000, exponent: 1.0}
accounts:
  - {name: ward-4, region: bagmati}
  - {name: hill-clinics, region: gandaki}
  - {name: workshop-ring, region: bagmati}
mix:
  - {name: status, kind: read, route: status, weight: 80}
  - {name: booking, kind: order, route: bookings, weight: 10}
  - {name: payment, kind: payment, route: payments, weight: 8}
  - {name: upload, kind: upload, route: recordings, weight: 2, bytes: 262144}
YAML
} >"$fleet_dir/load.yaml"
cat >"$fleet_dir/homes.yaml" <<'YAML'
accounts:
  - {name: ward-4, home_regions: [bagmati]}
  - {name: hill-clinics, home_regions: [gandaki]}
YAML

"$fleet_bin/mvload" --config "$fleet_dir/load.yaml" >"$fleet_dir/load.out" &
load_pid=$!
sleep $((seconds / 3))
echo "killing target status-bagmati-a-1"
fleet_kill status-bagmati-a-1
sleep $((seconds / 3))
echo "killing router router-bagmati-a"
fleet_kill router-bagmati-a
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
