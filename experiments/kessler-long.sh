# 1 % of requests 50 times longer at 80 % load, without noise.
POLICIES="slots+single slots least_in_flight power_of_two round_robin random"
SERVICE_KEYS="deadline = 5s"
LOAD_KEYS="rate = 2148
work_mean = 20ms
long_percent = 1
long_factor = 50
write_percent = 20
deadline = 5s"
