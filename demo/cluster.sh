# Functions that start and stop a small system on loopback addresses. Each
# process is stopped by the id it was started with.
#
# Set before use: OUT (folder for settings and logs), NET (first three parts
# of a loopback network, such as 127.9.1).

PIDS=()
ADMINS=""
ENTRIES=""
TARGETS=""

start() { # start NAME COMMAND...: runs a process in the background.
  local name=$1
  shift
  "$@" >"$OUT/$name.log" 2>&1 &
  PIDS+=($!)
  eval "PID_${name//[-.]/_}=$!"
}

stop_all() {
  local pid
  for pid in "${PIDS[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${PIDS[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${PIDS[@]}"; do wait "$pid" 2>/dev/null || true; done
  PIDS=()
}

wait_for() { # wait_for SECONDS COMMAND...: repeats the command until it succeeds.
  local deadline=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    if ((SECONDS >= deadline)); then
      echo "timeout waiting for: $*" >&2
      return 1
    fi
    sleep 0.05
  done
}

start_platform() {
  PLATFORM=$NET.1:7000
  start platform bin/standin platform --listen "$PLATFORM"
  wait_for 10 bin/standin put "http://$PLATFORM/standin/faults"
}

start_target() { # start_target NAME ADDRESS [FLAGS...]
  local name=$1 address=$2
  shift 2
  start "$name" bin/standin target --listen "$address" "$@"
  TARGETS=$TARGETS${TARGETS:+,}$address
}

list_instance() { # list_instance ID ZONE HOST STATE: sets a line of the platform's list.
  bin/standin put "http://$PLATFORM/standin/instances" --body \
    "{\"id\":\"$1\",\"role\":\"entry\",\"zone\":\"$2\",\"state\":\"$4\",\"caller_address\":\"$3:8080\",\"peer_address\":\"$3:8081\",\"admin_address\":\"$3:8082\"}"
}

start_instance() { # start_instance ID ZONE HOST
  cat >"$OUT/$1.ini" <<EOT
[instance]
id = $1
zone = $2
[callers]
listen = $3:8080
entry_ttl = ${ENTRY_TTL:-2s}
[peers]
listen = $3:8081
max_instances = ${MAX_INSTANCES:-20}
[admin]
listen = $3:8082
[platform]
address = $PLATFORM
[stop]
margin = 500ms
EOT
  list_instance "$1" "$2" "$3" live
  start "$1" bin/rhubarbrelayd --settings "$OUT/$1.ini"
  ENTRIES=$ENTRIES${ENTRIES:+,}$3:8080
  ADMINS=$ADMINS${ADMINS:+,}$3:8082
}
