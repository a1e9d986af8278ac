# The target figure of the design page: 1 % of requests 50 times longer, one
# target in five slowed 5 times at random for some 100 ms. Mean work is
# 0.99 * 20 ms + 0.01 * 1 s = 29.8 ms; noise leaves 0.84 of the capacity, so
# 80 % load is 0.8 * 0.84 * 80 / 29.8 ms = 1804 requests a second.
POLICIES="slots+single slots slots+all least_in_flight power_of_two round_robin random"
TARGET_FLAGS="--noise-factor 5 --noise-length 100ms --noise-share 0.2"
NOISE="factor = 5
length = 100ms
share = 0.2"
SERVICE_KEYS="deadline = 5s"
LOAD_KEYS="rate = 1804
work_mean = 20ms
long_percent = 1
long_factor = 50
write_percent = 20
deadline = 5s"
