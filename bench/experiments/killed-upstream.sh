fakes() {
  start_fakes encoder encoder 8 7601 --capacity 2 --service-time 20ms --distribution constant
  start_fakes doomed encoder 2 7602 --capacity 2 --service-time 20ms --distribution constant
}
on_mark() {
  [ "$1" = plantainlane ] || return 0
  kill -9 "${fakes_pid[doomed]}"
}
