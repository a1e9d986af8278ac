# 80 % load, load reports up to 1 s old.
POLICIES="slots+single slots slots+all least_in_flight"
TARGET_FLAGS="--report-age 1s"
LOAD_KEYS="rate = 3200
work_mean = 20ms
write_percent = 20"
