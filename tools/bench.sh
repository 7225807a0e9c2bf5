#!/usr/bin/env bash
# Compares, in one run, the router with direct calls to the target and with a minimal relay
# (mv-relay): a closed loop of small reads at 1, 16 and 128 connections, and an open loop at half
# load. Prints processor time per request of the intermediary and of all processes, p50, p99 and
# requests/s, and their ratios to the relay.
#
#   tools/bench.sh [SECONDS]        duration of each measurement; 4 by default
set -euo pipefail
cd "$(dirname "$0")/.."
tools/build.sh build
. tools/fleet.sh

seconds="${1:-4}"
fleet_init "$(mktemp -d "${TMPDIR:-/tmp}/mimosavalve-bench.XXXXXX")"
fleet_slots=512 fleet_connections=1024 fleet_work=constant fleet_work_ms=0 fleet_history=""
cat >"$fleet_dir/fleet.yaml" <<'YAML'
shards_per_region: 1
regions:
  - {name: north, failure_domains: [north-a]}
services:
  - {name: status, keyed: true, slots_per_region: 64, checks_fence: false}
routes:
  - {name: status, service: status, priority: status, timeout_ms: 2000}
accounts:
  - {name: bench, requests_per_second: 0}
YAML
fleet_start_store
fleet_start_target target status north north-a false
fleet_start_hosts
fleet_start_router router north north-a "$fleet_dir/fleet.yaml"
fleet_list_router router
fleet_wait_ready router
fleet_start relay mv-relay --target "${fleet_target_address[target]}" \
  --port-file "$fleet_dir/relay.port"
declare -A address=(
  [direct]="${fleet_target_address[target]}"
  [relay]="127.0.0.1:$(fleet_port relay relay.port)"
  [router]="$(fleet_router_address router callers)"
)
cat >"$fleet_dir/load.yaml" <<'YAML'
routers: [{address: "127.0.0.1:1"}]
mode: closed
timeout_ms: 2000
repeats: 0
seed: 20261204
keys: {count: 1000, exponent: 0.0}
accounts: [{name: bench}]
mix: [{name: status, kind: read, route: status, weight: 1}]
YAML

cpu_of() { if [ "$1" = direct ]; then echo 0; else fleet_cpu_ms "$1"; fi; }

# measure PATH CONNECTIONS MILLISECONDS [MVLOAD_ARGS...]: prints "answered p50 p99 own_us all_us
# per_second failed". own_us and all_us are the processor time per answered request, of the
# intermediary and of all processes.
measure() {
  local path="$1" connections="$2" milliseconds="$3" own target load_before load_after
  shift 3
  own=$(cpu_of "$path")
  target=$(fleet_cpu_ms target)
  load_before=$(awk -v tick="$(getconf CLK_TCK)" '{ print ($16 + $17) * 1000 / tick }' /proc/$$/stat)
  "$fleet_bin/mvload" --config "$fleet_dir/load.yaml" --router "${address[$path]}" \
    --connections "$connections" --duration-ms "$milliseconds" "$@" >"$fleet_dir/out"
  load_after=$(awk -v tick="$(getconf CLK_TCK)" '{ print ($16 + $17) * 1000 / tick }' /proc/$$/stat)
  awk -v own="$(awk -v a="$(cpu_of "$path")" -v b="$own" 'BEGIN { print a - b }')" \
    -v target="$(awk -v a="$(fleet_cpu_ms target)" -v b="$target" 'BEGIN { print a - b }')" \
    -v load="$(awk -v a="$load_after" -v b="$load_before" 'BEGIN { print a - b }')" \
    -v seconds="$(awk -v ms="$milliseconds" 'BEGIN { print ms / 1000 }')" '
    $1 == "status" { answered = $4; failed = $5 + $6; p50 = $7; p99 = $8 }
    END {
      if (answered == 0) { print "bench: no request was answered" > "/dev/stderr"; exit 1 }
      printf "%d %.3f %.3f %.1f %.1f %.0f %d\n", answered, p50, p99, own * 1000 / answered,
        (own + target + load) * 1000 / answered, answered / seconds, failed
    }' "$fleet_dir/out"
}

for path in direct relay router; do measure "$path" 16 1000 >/dev/null; done
printf '%-6s %5s %9s %9s %9s %12s %12s %9s %7s\n' path conns answered p50_ms p99_ms \
  own_us/req all_us/req req/s failed
for connections in 1 16 128; do
  declare -A row=()
  for path in direct relay router; do
    row[$path]=$(measure "$path" "$connections" $((seconds * 1000)))
    read -r answered p50 p99 own all rate failed <<<"${row[$path]}"
    printf '%-6s %5s %9s %9s %9s %12s %12s %9s %7s\n' "$path" "$connections" "$answered" "$p50" \
      "$p99" "$own" "$all" "$rate" "$failed"
  done
  awk -v relay="${row[relay]}" -v router="${row[router]}" -v connections="$connections" 'BEGIN {
    split(relay, a, " "); split(router, b, " ")
    printf "router/relay at %s connections: own processor time %.2f, all processor time %.2f, " \
      "p50 %.2f, p99 %.2f (added %.3f ms), requests/s per core of the process %.2f\n", connections,
      b[4] / a[4], b[5] / a[5], b[2] / a[2], b[3] / a[3], b[3] - a[3], a[4] / b[4]
  }'
done
read -r _ _ _ _ _ full_rate _ <<<"$(measure router 16 $((seconds * 1000)))"
half_rate=$((full_rate / 2))
read -r _ p50_relay p99_relay _ <<<"$(measure relay 128 $((seconds * 1000)) --mode open --rate "$half_rate")"
read -r _ p50_router p99_router _ <<<"$(measure router 128 $((seconds * 1000)) --mode open --rate "$half_rate")"
echo "half load, $half_rate requests/s: relay p50 $p50_relay p99 $p99_relay ms," \
  "router p50 $p50_router p99 $p99_router ms"
fleet_stop
rm -rf "$fleet_dir"
