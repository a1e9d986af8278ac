# At 60 % load an instance is replaced 3 s after the start.
POLICIES="slots+single slots"
LOAD_KEYS="rate = 2400
work_mean = 20ms
write_percent = 20"
during() {
  sleep 3
  local spare=entry-spare-$RANDOM
  start_instance "$spare" mid-a "$NET.60"
  local pid=$!
  wait_for 10 bin/rhubarbrelay --admin "$NET.60:8082" status
  list_instance entry-1 mid-a "$NET.11" leaving
  kill -TERM "$PID_entry_1"
  sleep 4
  list_instance entry-1 mid-a "$NET.11" live
  kill -TERM "$pid"
  sleep 2
}
