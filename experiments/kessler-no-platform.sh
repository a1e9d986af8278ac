# 80 % load with the platform down during every run.
POLICIES="slots+single slots"
LOAD_KEYS="rate = 3200
work_mean = 20ms
write_percent = 20"
before() { bin/standin put "http://$PLATFORM/standin/faults?down=true"; }
during() {
  sleep 7.5
  bin/standin put "http://$PLATFORM/standin/faults"
}
