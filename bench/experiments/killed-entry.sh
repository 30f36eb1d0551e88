instances=5
fakes() {
  start_fakes encoder encoder 10 7601 --capacity 2 --service-time 20ms --distribution constant
}
on_mark() {
  [ "$1" = plantainlane ] || return 0
  kill -9 "${instance_pid[5]}"
}
