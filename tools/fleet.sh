# Shell functions that start a small fleet of separate processes on the loopback interface:
# stand-ins of the platform's store and host list, targets and routers. Sourced by bench.sh,
# control_cost.sh, demo.sh and failures.sh. Each process is recorded by its id and ended by that id.

fleet_bin="${fleet_bin:-build}"
declare -A fleet_pid=()

# fleet_init DIR: creates the folder for settings, logs, port files and histories, and ensures that
# the fleet is ended when the script exits.
fleet_init() {
  fleet_dir="$1"
  mkdir -p "$fleet_dir"
  trap fleet_stop EXIT
}

# fleet_start NAME PROGRAM ARGS...: starts a process with its output in NAME.log.
fleet_start() {
  local name="$1" program="$2"
  shift 2
  "$fleet_bin/$program" "$@" >"$fleet_dir/$name.log" 2>&1 &
  fleet_pid[$name]=$!
}

# fleet_port NAME FILE: waits until the process has written its port and prints it.
fleet_port() {
  local name="$1" file="$fleet_dir/$2" attempt
  for attempt in $(seq 1 400); do
    if [ -s "$file" ]; then
      tr -d '[:space:]' <"$file"
      return 0
    fi
    if ! kill -0 "${fleet_pid[$name]}" 2>/dev/null; then
      break
    fi
    sleep 0.025
  done
  echo "process $name did not report a port; its log ends with:" >&2
  tail -5 "$fleet_dir/$name.log" >&2
  return 1
}

# fleet_signal NAME SIGNAL: sends a signal to a process.
fleet_signal() { kill -"$2" "${fleet_pid[$1]}"; }

# fleet_kill NAME: ends a process with SIGKILL and removes its record.
fleet_kill() {
  fleet_signal "$1" KILL
  wait "${fleet_pid[$1]}" 2>/dev/null || true
  unset "fleet_pid[$1]"
}

# fleet_cpu_ms NAME: prints the processor time (user and system) used by the process, in
# milliseconds.
fleet_cpu_ms() {
  local fields tick
  tick=$(getconf CLK_TCK)
  # Removes the process id and name first, since the name may contain spaces.
  fields=$(sed 's/^.*) //' "/proc/${fleet_pid[$1]}/stat")
  awk -v tick="$tick" '{ print ($12 + $13) * 1000 / tick }' <<<"$fields"
}

# fleet_stop: ends all processes with SIGKILL. Orderly stops are tested by cases of failures.sh.
fleet_stop() {
  local name
  for name in "${!fleet_pid[@]}"; do
    kill -KILL "${fleet_pid[$name]}" 2>/dev/null || true
  done
  for name in "${!fleet_pid[@]}"; do
    wait "${fleet_pid[$name]}" 2>/dev/null || true
  done
  fleet_pid=()
}

# Regions and failure domains of the small repair service, as REGION:DOMAIN.
fleet_domains=(bagmati:bagmati-a bagmati:bagmati-b gandaki:gandaki-a gandaki:gandaki-b)

# fleet_start_store: starts the stand-in of the store and sets fleet_store to its address.
fleet_start_store() {
  printf 'listen: 127.0.0.1:0\nport_file: %s\n' "$fleet_dir/store.port" >"$fleet_dir/store.yaml"
  fleet_start store mv-store --config "$fleet_dir/store.yaml"
  fleet_store="127.0.0.1:$(fleet_port store store.port)"
}

# fleet_start_target ID SERVICE REGION DOMAIN CHECKS_FENCE [PORT]: starts a target and sets
# fleet_target_address[ID].
declare -A fleet_target_address=() fleet_target_line=()
fleet_start_target() {
  local id="$1" service="$2" region="$3" domain="$4" checks_fence="$5" port="${6:-0}"
  cat >"$fleet_dir/$id.yaml" <<YAML
id: $id
listen: 127.0.0.1:$port
port_file: $fleet_dir/$id.port
service: $service
region: $region
failure_domain: $domain
checks_fence: $checks_fence
slots: ${fleet_slots:-4}
connections: ${fleet_connections:-130}
history_file: "${fleet_history-$fleet_dir/$id.history}"
work:
  distribution: ${fleet_work:-lognormal}
  mean_ms: ${fleet_work_ms:-2}
YAML
  rm -f "$fleet_dir/$id.port"
  fleet_start "$id" mv-target --config "$fleet_dir/$id.yaml"
  fleet_target_address[$id]="127.0.0.1:$(fleet_port "$id" "$id.port")"
  fleet_target_line[$id]="$id $service $region $domain $checks_fence"
}

# fleet_start_hosts: starts the host list with all targets started before, and sets fleet_hosts to
# its address.
fleet_start_hosts() {
  local id service region domain checks_fence
  {
    printf 'listen: 127.0.0.1:0\nport_file: %s\nlag_ms: 1000\nhosts:\n' "$fleet_dir/hosts.port"
    for id in "${!fleet_target_line[@]}"; do
      read -r id service region domain checks_fence <<<"${fleet_target_line[$id]}"
      printf '  - {id: %s, role: target, service: %s, address: "%s", region: %s, ' \
        "$id" "$service" "${fleet_target_address[$id]}" "$region"
      printf 'failure_domain: %s, slots: %s, connections: %s}\n' "$domain" \
        "${fleet_slots:-4}" "${fleet_connections:-130}"
    done
  } >"$fleet_dir/hosts.yaml"
  fleet_start hosts mv-hosts --config "$fleet_dir/hosts.yaml"
  fleet_hosts="127.0.0.1:$(fleet_port hosts hosts.port)"
}

# fleet_start_router NAME REGION DOMAIN FLEET_CONFIG: starts a router without waiting until it is
# ready.
declare -A fleet_router_line=()
fleet_start_router() {
  local name="$1" region="$2" domain="$3" fleet_config="$4"
  cat >"$fleet_dir/$name.yaml" <<YAML
host: $name
region: $region
failure_domain: $domain
callers: 127.0.0.1:0
peers: 127.0.0.1:0
admin: 127.0.0.1:0
store: $fleet_store
host_list: $fleet_hosts
traffic_threads: ${fleet_traffic_threads:-1}
initial_config: $fleet_config
YAML
  rm -f "$fleet_dir/$name.ports"
  fleet_start "$name" mimosavalved --config "$fleet_dir/$name.yaml" \
    --port-file "$fleet_dir/$name.ports"
  fleet_router_line[$name]="$name $region $domain $fleet_config"
}

# fleet_list_router NAME: adds a started router to the host list, as the platform does.
fleet_list_router() {
  local name region domain
  read -r name region domain _ <<<"${fleet_router_line[$1]}"
  curl -fsS -m 2 -X PUT "http://$fleet_hosts/hosts/$name" -o /dev/null -d "{\"id\": \"$name\",
    \"role\": \"router\", \"address\": \"$(fleet_router_address "$name" peers)\",
    \"region\": \"$region\", \"failure_domain\": \"$domain\"}"
}

# fleet_router_address NAME callers|peers|admin: prints the address of one socket of a router.
fleet_router_address() {
  fleet_port "$1" "$1.ports" >/dev/null
  awk -v name="$2" '$1 == name { print "127.0.0.1:" $2 }' "$fleet_dir/$1.ports"
}

# fleet_wait_ready NAME: waits until the router reports that it may serve its own region.
fleet_wait_ready() {
  local address attempt
  address=$(fleet_router_address "$1" admin)
  for attempt in $(seq 1 400); do
    curl -fsS -m 1 "http://$address/ready" >/dev/null 2>&1 && return 0
    sleep 0.05
  done
  echo "router $1 is not ready; its log ends with:" >&2
  tail -5 "$fleet_dir/$1.log" >&2
  return 1
}

# fleet_start_repair_service ROUTERS: starts the store, the host list, and four targets and ROUTERS
# routers in each failure domain; returns when all routers are ready.
fleet_start_repair_service() {
  local entry region domain number name config="$PWD/examples/repair-service/fleet.yaml"
  fleet_target_line=() fleet_target_address=() fleet_router_line=()
  fleet_start_store
  for entry in "${fleet_domains[@]}"; do
    region="${entry%%:*}" domain="${entry##*:}"
    for number in 1 2; do
      fleet_start_target "status-$domain-$number" status "$region" "$domain" true
    done
    fleet_start_target "orders-$domain-1" orders "$region" "$domain" true
    fleet_start_target "calibration-$domain-1" calibration "$region" "$domain" false
  done
  fleet_start_hosts
  for entry in "${fleet_domains[@]}"; do
    for number in $(seq 1 "$1"); do
      fleet_start_router "router-${entry##*:}-$number" "${entry%%:*}" "${entry##*:}" "$config"
    done
  done
  for name in "${!fleet_router_line[@]}"; do fleet_list_router "$name"; done
  for name in "${!fleet_router_line[@]}"; do fleet_wait_ready "$name"; done
}

# fleet_write_load RATE DURATION_MS: writes the settings of mvload (load.yaml) and mvcheck
# (homes.yaml).
fleet_write_load() {
  local name region
  {
    echo "routers:"
    for name in "${!fleet_router_line[@]}"; do
      read -r _ region _ _ <<<"${fleet_router_line[$name]}"
      printf '  - {address: "%s", region: %s}\n' "$(fleet_router_address "$name" callers)" "$region"
    done
    cat <<YAML
mode: open
rate: $1
connections: 128
duration_ms: $2
timeout_ms: 3000
repeats: 3
repeat_wait_ms: 50
seed: 20261204
history_file: $fleet_dir/load.history
keys: {count: 100, exponent: 0.5}
accounts:
  - {name: ward-4, region: bagmati}
  - {name: hill-clinics, region: gandaki}
  - {name: workshop-ring, region: bagmati}
mix:
  - {name: status, kind: read, route: status, weight: 80}
  - {name: booking, kind: order, route: bookings, weight: 8}
  - {name: payment, kind: payment, route: payments, weight: 10}
  - {name: upload, kind: upload, route: recordings, weight: 2, bytes: 262144}
YAML
  } >"$fleet_dir/load.yaml"
  cat >"$fleet_dir/homes.yaml" <<'YAML'
accounts:
  - {name: ward-4, home_regions: [bagmati]}
  - {name: hill-clinics, home_regions: [gandaki]}
YAML
}
