fakes() {
  start_fakes encoder encoder 10 7601 --capacity 2 --service-time 20ms --distribution constant
}
