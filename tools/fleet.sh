# Shell functions that start a small fleet of separate processes on the loopback interface: the
# stand-ins of the platform, targets and routers. Sourced by the demo, the benchmark and the process
# tests; each process is tracked by its id and ended by it.

fleet_bin="${fleet_bin:-build}"
declare -A fleet_pid=()

# fleet_init DIR: folder for settings, logs, port files and histories.
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

# fleet_signal NAME SIGNAL
fleet_signal() { kill -"$2" "${fleet_pid[$1]}"; }

# fleet_kill NAME: ends a process at once and forgets it.
fleet_kill() {
  fleet_signal "$1" KILL
  wait "${fleet_pid[$1]}" 2>/dev/null || true
  unset "fleet_pid[$1]"
}

# fleet_cpu_ms NAME: processor time (user and system) that the process has used so far.
fleet_cpu_ms() {
  local fields tick
  tick=$(getconf CLK_TCK)
  # The name field may hold spaces, so it is cut off first.
  fields=$(sed 's/^.*) //' "/proc/${fleet_pid[$1]}/stat")
  awk -v tick="$tick" '{ print ($12 + $13) * 1000 / tick }' <<<"$fields"
}

fleet_stop() {
  local name
  for name in "${!fleet_pid[@]}"; do
    kill -CONT "${fleet_pid[$name]}" 2>/dev/null || true
    kill -TERM "${fleet_pid[$name]}" 2>/dev/null || true
  done
  for name in "${!fleet_pid[@]}"; do
    local attempt
    for attempt in $(seq 1 200); do
      kill -0 "${fleet_pid[$name]}" 2>/dev/null || break
      sleep 0.025
    done
    kill -KILL "${fleet_pid[$name]}" 2>/dev/null || true
    wait "${fleet_pid[$name]}" 2>/dev/null || true
  done
  fleet_pid=()
}
