#!/usr/bin/env bash
# Runs failure cases against a small fleet of separate processes under load, checks the histories
# and prints one row per case: the results that callers received, the longest unavailable time of a
# key and of all keys, the owner changes, and the violations found. Exits 0 only when no case shows
# a violation.
#
#   tools/failures.sh [CASE...]     all cases when none is named; tools/failures.sh --list
set -euo pipefail
cd "$(dirname "$0")/.."
. tools/fleet.sh

cases=(none target-kill target-freeze target-leave router-kill router-freeze router-stop
  store-outage store-outage-target-kill store-lost-answers domain-kill domain-remove-return)
if [ "${1:-}" = --list ]; then
  printf '%s\n' "${cases[@]}"
  exit 0
fi
[ "$#" -eq 0 ] || cases=("$@")
load_ms="${FAILURES_LOAD_MS:-6000}"
warm_ms="${FAILURES_WARM_MS:-3000}"
root="$(mktemp -d "${TMPDIR:-/tmp}/mimosavalve-failures.XXXXXX")"

store_faults() {
  curl -fsS -m 5 -X POST "http://$fleet_store/faults" -d "$1" -o /dev/null
}

# inject CASE: causes the fault of a case. Called after a third of the load time.
inject() {
  local name
  case "$1" in
    none) ;;
    target-kill) fleet_kill status-bagmati-a-1 ;;
    target-freeze)
      fleet_signal status-bagmati-a-1 STOP
      sleep 2.5
      fleet_signal status-bagmati-a-1 CONT
      ;;
    target-leave) fleet_signal status-bagmati-a-1 TERM ;;
    router-kill) fleet_kill router-bagmati-a-1 ;;
    router-freeze)
      fleet_signal router-bagmati-a-1 STOP
      sleep 2.5
      fleet_signal router-bagmati-a-1 CONT
      ;;
    router-stop) fleet_signal router-bagmati-a-1 TERM ;;
    store-outage)
      store_faults '{"outage": "hang"}'
      sleep 3
      store_faults '{"outage": "none"}'
      ;;
    store-outage-target-kill)
      store_faults '{"outage": "hang"}'
      sleep 0.5
      fleet_kill status-bagmati-a-1
      sleep 1.5
      store_faults '{"outage": "none"}'
      ;;
    store-lost-answers)
      store_faults '{"lose_answers": 3}'
      fleet_kill status-bagmati-a-1
      ;;
    domain-kill)
      for name in "${!fleet_pid[@]}"; do
        case "$name" in *-bagmati-a-*) fleet_kill "$name" ;; esac
      done
      ;;
    domain-remove-return)
      "$fleet_bin/mvctl" -r "$admin" "remove domain bagmati-a" >>"$fleet_dir/commands.out"
      sleep 2
      "$fleet_bin/mvctl" -r "$admin" "return domain bagmati-a" >>"$fleet_dir/commands.out"
      ;;
    *)
      echo "unknown case $1; known: $(tools/failures.sh --list | tr '\n' ' ')" >&2
      exit 2
      ;;
  esac
}

report_row() {
  awk -v name="$1" -v verdict="$2" '
    FILENAME ~ /load.out$/ && ($1 == "status" || $1 == "booking" || $1 == "payment" ||
        $1 == "upload") {
      sent += $2; answered += $4; failed += $5; if ($1 == "status") { p50 = $7; p99 = $8 }
    }
    FILENAME ~ /load.out$/ && /^refused not-run/ { not_run += $NF }
    FILENAME ~ /load.out$/ && /^refused may-have-run/ { may += $NF }
    FILENAME ~ /check.out$/ && /^owners moved/ { moved = $3 }
    FILENAME ~ /check.out$/ && /^longest unavailable time of a key/ { key = $7 }
    FILENAME ~ /check.out$/ && /^longest unavailable time of all keys/ { all = $7 }
    FILENAME ~ /check.out$/ && /^violations/ { violations = $2 }
    END {
      printf "%-25s %6d %8d %6d %8d %7d %8.2f %8.2f %10.0f %10.0f %6d %10s\n", name, sent, answered,
        failed, not_run, may, p50, p99, key, all, moved, verdict == 0 ? violations : violations " !"
    }' "$fleet_dir/load.out" "$fleet_dir/check.out"
}

printf '%-25s %6s %8s %6s %8s %7s %8s %8s %10s %10s %6s %10s\n' case sent answered failed not-run \
  may-run p50_ms p99_ms key_gap_ms all_gap_ms moved violations
failed_cases=()
for case in "${cases[@]}"; do
  fleet_init "$root/$case"
  fleet_start_repair_service 2
  fleet_write_load 500 "$load_ms"
  admin=$(fleet_router_address router-gandaki-a-1 admin)
  # New targets get few requests during their slow start, so the case is measured after it.
  "$fleet_bin/mvload" --config "$fleet_dir/load.yaml" --duration-ms "$warm_ms" \
    --history-file "$fleet_dir/warm.history" >"$fleet_dir/warm.out" 2>&1
  "$fleet_bin/mvload" --config "$fleet_dir/load.yaml" >"$fleet_dir/load.out" 2>"$fleet_dir/load.err" &
  load_pid=$!
  sleep "$(awk -v ms="$load_ms" 'BEGIN { print ms / 3000 }')"
  inject "$case"
  wait "$load_pid"
  verdict=0
  "$fleet_bin/mvcheck" --homes "$fleet_dir/homes.yaml" "$fleet_dir"/*.history \
    >"$fleet_dir/check.out" 2>&1 || verdict=$?
  report_row "$case" "$verdict"
  fleet_stop
  if [ "$verdict" -eq 0 ]; then
    [ -n "${FAILURES_KEEP:-}" ] || rm -rf "$fleet_dir"
  else
    failed_cases+=("$case")
    grep -A3 '^violation' "$fleet_dir/check.out" | head -20 || true
  fi
done
if [ "${#failed_cases[@]}" -gt 0 ]; then
  echo "violations in: ${failed_cases[*]}; histories and logs are in $root"
  exit 1
fi
[ -n "${FAILURES_KEEP:-}" ] || rm -rf "$root"
