#!/usr/bin/env bash
# Measures the cost of the control plane of routers without callers: processor time, memory, peer
# messages and bytes on the loopback interface (peers, store, host list and probes together) per
# router, and the calls to the store, for increasing numbers of routers. Prints one row per number;
# the differences between rows show how the cost grows.
#
#   tools/control_cost.sh [ROUTERS...]      numbers of routers; 4 8 16 32 by default
set -euo pipefail
cd "$(dirname "$0")/.."
. tools/fleet.sh

numbers=("$@")
[ "${#numbers[@]}" -gt 0 ] || numbers=(4 8 16 32)
seconds=8
root="$(mktemp -d "${TMPDIR:-/tmp}/mimosavalve-control.XXXXXX")"
fleet_config="$PWD/examples/repair-service/fleet.yaml"
fleet_work_ms=1

loopback_bytes() { awk '$1 == "lo:" { print $2 }' /proc/net/dev; }
sum_of() {
  local name total=0
  for name in "${!fleet_router_line[@]}"; do
    total=$(awk -v a="$total" -v b="$("$1" "$name")" 'BEGIN { print a + b }')
  done
  echo "$total"
}
memory_kb() { awk '$1 == "VmRSS:" { print $2 }' "/proc/${fleet_pid[$1]}/status"; }
peer_messages() {
  curl -fsS -m 2 "http://$(fleet_router_address "$1" admin)/metrics" |
    awk '$1 == "mimosavalve_peer_messages_sent" { print $2 }'
}
store_calls() {
  curl -fsS -m 2 "http://$fleet_store/stats" | grep -o '"total":{[^}]*}' | grep -o '[0-9]\+' |
    awk '{ total += $1 } END { print total + 0 }'
}

printf '%-8s %12s %10s %12s %12s %14s\n' routers cpu_ms/s/node rss_mb msgs/s/node kb/s/node \
  store_calls/s
for number in "${numbers[@]}"; do
  fleet_init "$root/$number"
  fleet_target_line=() fleet_target_address=() fleet_router_line=()
  fleet_start_store
  for entry in "${fleet_domains[@]}"; do
    region="${entry%%:*}" domain="${entry##*:}"
    fleet_start_target "status-$domain" status "$region" "$domain" true
    fleet_start_target "orders-$domain" orders "$region" "$domain" true
  done
  fleet_start_hosts
  for index in $(seq 1 "$number"); do
    entry="${fleet_domains[$(((index - 1) % ${#fleet_domains[@]}))]}"
    fleet_start_router "router-$index" "${entry%%:*}" "${entry##*:}" "$fleet_config"
  done
  for name in "${!fleet_router_line[@]}"; do fleet_list_router "$name"; done
  for name in "${!fleet_router_line[@]}"; do fleet_wait_ready "$name"; done
  sleep 4
  cpu=$(sum_of fleet_cpu_ms) messages=$(sum_of peer_messages)
  calls=$(store_calls) bytes=$(loopback_bytes)
  sleep "$seconds"
  bytes_after=$(loopback_bytes)
  cpu_after=$(sum_of fleet_cpu_ms) messages_after=$(sum_of peer_messages) calls_after=$(store_calls)
  awk -v n="$number" -v s="$seconds" -v cpu="$cpu" -v cpu2="$cpu_after" -v m="$messages" \
    -v m2="$messages_after" -v c="$calls" -v c2="$calls_after" -v b="$bytes" -v b2="$bytes_after" \
    -v rss="$(sum_of memory_kb)" 'BEGIN {
      printf "%-8d %12.2f %10.1f %12.1f %12.1f %14.1f\n", n, (cpu2 - cpu) / s / n, rss / n / 1024,
        (m2 - m) / s / n, (b2 - b) / s / n / 1024, (c2 - c) / s
    }'
  fleet_stop
done
rm -rf "$root"
