# At 60 % load, one target fails fast, one is 10 times slower and one begins
# to drain, 2 s after the start.
LOAD_KEYS="rate = 2400
work_mean = 20ms
write_percent = 20"
control() { bin/standin put "http://$NET.$1:9000/standin/control?$2"; }
during() {
  sleep 2
  control 101 rejecting=true
  control 102 slow=10
  control 103 draining=true
  sleep 5
  control 101 rejecting=false
  control 102 slow=1
  control 103 draining=false
}
