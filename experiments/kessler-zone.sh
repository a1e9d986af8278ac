# At 50 % load, all instances and targets of one zone are killed 3 s after the
# start.
POLICIES="slots"
LOAD_KEYS="rate = 2000
work_mean = 20ms
write_percent = 20"
during() {
  sleep 3
  local i pid
  for i in 1 4 7 10 13; do
    pid=PID_entry_$i
    kill -KILL "${!pid}"
  done
  for i in 1 4 7 10 13 16 19; do
    pid=PID_target_$i
    kill -KILL "${!pid}"
  done
}
