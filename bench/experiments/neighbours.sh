declarations=bench/declarations-limited.jsonc
fakes() {
  start_fakes encoder encoder 6 7601 --capacity 2 --service-time 20ms --distribution constant
}
