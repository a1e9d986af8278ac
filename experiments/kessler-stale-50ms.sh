# 80 % load, load reports up to 50 ms old.
POLICIES="slots+single slots slots+all least_in_flight"
TARGET_FLAGS="--report-age 50ms"
LOAD_KEYS="rate = 3200
work_mean = 20ms
write_percent = 20"
