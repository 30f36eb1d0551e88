instances=5
fakes() {
  start_fakes accounts accounts 4 7605 --capacity 16 --service-time 10ms
}
on_mark() {
  [ "$1" = plantainlane ] || return 0
  kill -9 "${instance_pid[5]}"
}
