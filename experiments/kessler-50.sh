# Kessler's spoolkeep at 50 % load: 80 slots, mean service time 20 ms.
POLICIES="slots+single slots least_in_flight power_of_two round_robin random"
LOAD_KEYS="rate = 2000
work_mean = 20ms
write_percent = 20"
