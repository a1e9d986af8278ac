# 60 % load on targets that are 5 times slower in their first 3 s. The targets
# are restarted before each run.
LOAD_KEYS="rate = 2400
work_mean = 20ms
write_percent = 20"
before() {
  local i pid
  for i in 1 2 3 4; do
    pid=PID_target_$i
    kill -TERM "${!pid}"
    wait "${!pid}" 2>/dev/null || true
  done
  TARGETS_BEFORE=$TARGETS
  for i in 1 2 3 4; do
    start_target "target-$i" "$NET.$((100 + i)):9000" --slots "$SLOTS" --cold-factor 5 --cold-length 3s
  done
  TARGETS=$TARGETS_BEFORE
  sleep 0.3
}
