# Functions that start and stop the processes of an experiment. Source this file in the root of the repository.
#
# Instance N listens on 127.0.0.1: 75N1 for callers, 75N2 for upstreams, 75N3 for operators, 75N4 for peers.
# Each process of fakes has an admin listener on the port that is passed to start_fakes.

data=${BENCH_DATA:-data/bench}
zones=(milano-a milano-b brescia)
operator_credential=bench-operator-credential
upstream_credential=bench-upstream-credential
declare -A instance_pid fakes_pid

# sha TEXT prints the SHA-256 hash of a credential.
sha() { printf '%s' "$1" | sha256sum | cut -d' ' -f1; }

# settings N DISKS COUNT prints the settings of instance N of COUNT, with a data folder if N is at most DISKS.
# Instance 1 has no peers to join, because it starts the control log.
settings() {
  local n=$1 disks=$2 count=$3 join='' folder='' i
  for i in $(seq "$count"); do
    [ "$n" = 1 ] || [ "$i" = "$n" ] || join+="\"127.0.0.1:75${i}4\","
  done
  [ "$n" -gt "$disks" ] || folder="\"data\": {\"folder\": \"$data/instance-$n\"},"
  cat <<EOF
{
  "instance": {"id": "entry-$n", "zone": "${zones[$(((n - 1) % 3))]}", "region": "lombardy"},
  "listen": {
    "callers": "127.0.0.1:75${n}1", "upstreams": "127.0.0.1:75${n}2",
    "operators": "127.0.0.1:75${n}3", "peers": "127.0.0.1:75${n}4",
  },
  "join": [$join],
  $folder
  "timeline": {"events": ${TIMELINE_EVENTS:-65536}},
  "credentials": {
    "peer": "bench-peer-secret-0123",
    "upstreams": [{"name": "bench", "services": ["*"], "sha256": "$(sha $upstream_credential)"}],
    "operators": [{"name": "bench", "sha256": "$(sha $operator_credential)"}],
  },
}
EOF
}

# start_instances COUNT DISKS deletes the data of the previous run, starts COUNT instances, the first DISKS of them with
# a data folder, and waits until all are ready.
start_instances() {
  local count=$1 disks=$2 n
  rm -rf "$data"
  mkdir -p "$data"
  for n in $(seq "$count"); do
    settings "$n" "$disks" "$count" >"$data/entry-$n.jsonc"
    if [ "$n" = 1 ]; then bin/plantainlane bootstrap "$data/entry-$n.jsonc" >"$data/bootstrap.log"; fi
    bin/plantainlane serve "$data/entry-$n.jsonc" >"$data/entry-$n.log" 2>&1 &
    instance_pid[$n]=$!
  done
  for n in $(seq "$count"); do until_ok curl -fsS "127.0.0.1:75${n}1/readyz" || return 1; done
}

# apply FILE applies declarations at instance 1.
apply() {
  PLANTAINCTL_CREDENTIAL=$operator_credential until_ok bin/plantainctl --instance 127.0.0.1:7513 apply "$1"
}

# start_fakes NAME SERVICE COUNT ADMIN [FLAG...] starts a process with COUNT fakes of a service, which announce
# themselves to all instances. ADMIN is the port of the admin listener; the flags go to standin upstream.
start_fakes() {
  local name=$1 service=$2 count=$3 admin=$4 targets=() n
  shift 4
  for n in "${!instance_pid[@]}"; do targets+=(--announce "127.0.0.1:75${n}2"); done
  bin/standin upstream --name "$name" --service "$service" --count "$count" --admin "127.0.0.1:$admin" \
    --region lombardy --zone milano-a --zone milano-b --zone brescia --credential $upstream_credential \
    "${targets[@]}" "$@" >"$data/$name.log" 2>&1 &
  fakes_pid[$name]=$!
}

# await_fakes waits until all processes of fakes have announced their fakes, and then for 3 s, so that all instances know
# the fakes.
await_fakes() {
  local name
  for name in "${!fakes_pid[@]}"; do until_ok grep -q '^announced' "$data/$name.log" || return 1; done
  sleep 3
}

# until_ok COMMAND... retries a command for about 20 s until it succeeds. The last try shows its output.
until_ok() {
  for _ in $(seq 100); do
    if "$@" >/dev/null 2>&1; then return; fi
    sleep 0.2
  done
  echo "bench: command still fails after 100 tries: $*" >&2
  "$@" >&2 || true
  return 1
}

# stop_all kills all started processes. SIGKILL also ends paused processes.
stop_all() {
  local pids=("${instance_pid[@]}" "${fakes_pid[@]}")
  [ ${#pids[@]} -gt 0 ] || return 0
  kill -9 "${pids[@]}" 2>/dev/null || true
  wait "${pids[@]}" 2>/dev/null || true
  instance_pid=() fakes_pid=()
}
