# Kessler's spoolkeep at 95 % load: 80 slots, mean service time 20 ms.
POLICIES="slots+single slots least_in_flight power_of_two round_robin random"
LOAD_KEYS="rate = 3800
work_mean = 20ms
write_percent = 20"
