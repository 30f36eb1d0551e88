fakes() {
  start_fakes encoder encoder 10 7601 --capacity 2 --service-time 20ms --distribution constant
  start_fakes accounts accounts 4 7605 --capacity 8
}
on_mark() {
  [ "$1" = plantainlane ] || return 0
  local leader
  leader=$(curl -fsS -H "Authorization: Bearer $operator_credential" 127.0.0.1:7523/v1/status |
    sed -E 's/.*"leader":"entry-([0-9])".*/\1/')
  echo "bench: killing instance $leader, the leader"
  kill -9 "${instance_pid[$leader]}"
}
