flags=()
fakes() {
  local n=0 zone
  for zone in milano-a milano-b brescia; do
    n=$((n + 1))
    start_fakes "encoder-$zone" encoder 5 "760$n" --zone "$zone" --capacity 2 --service-time 20ms --distribution constant
  done
}
on_mark() {
  kill -STOP "${instance_pid[3]}" "${fakes_pid[encoder-brescia]}"
}
