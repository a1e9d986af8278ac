# Hanbit's ordering at three times its capacity for 5 s: 120 slots, mean
# service time 20 ms, capacity 6000 requests a second, 70 % load before and
# after the peak.
SERVICE=ordering
ZONES=seoul-a,seoul-b,seoul-c
SLOTS=6
DURATION=12s
POLICIES="slots+single slots least_in_flight"
LOAD_KEYS="rate = 4200
work_mean = 20ms
write_percent = 20

[phase peak]
start = 3s
length = 5s
factor = 4.286"
