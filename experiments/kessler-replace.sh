# At 60 % load an instance is replaced 3 s after the start of each run: the one
# that serves zone mid-a longest.
POLICIES="slots+single slots"
LOAD_KEYS="rate = 2400
work_mean = 20ms
write_percent = 20"
replaced=0
before() { replaced=$((replaced + 1)); }
during() {
  sleep 3
  local old=$((replaced - 1)) new=$replaced id=entry-1 host=$NET.11 pid=$PID_entry_1
  if ((old > 0)); then
    id=spare-$old host=$NET.$((59 + old)) pid=$(cat "$OUT/spare-$old.pid")
  fi
  start_instance "spare-$new" mid-a "$NET.$((59 + new))"
  echo $! >"$OUT/spare-$new.pid"
  wait_for 10 bin/standin get "http://$NET.$((59 + new)):8080/.well-known/rhubarbrelay/entry?service=$SERVICE"
  list_instance "$id" mid-a "$host" leaving
  kill -TERM "$pid"
}
