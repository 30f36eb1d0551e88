fakes() {
  start_fakes encoder encoder 10 7601 --capacity 2 --service-time 20ms --distribution constant
}
on_mark() {
  [ "$1" = plantainlane ] || return 0
  kill -TERM "${instance_pid[3]}"
}
