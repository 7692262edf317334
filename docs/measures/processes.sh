#!/usr/bin/env bash
# Start to serving, resident memory and processor time of each role, from /proc, on loopback.
# Usage: docs/measures/processes.sh [flows...]; needs the release binary, curl and python3.
set -euo pipefail
cd "$(dirname "$0")/../.."
bin=$PWD/target/release/dogwoodrill
dir=$(mktemp -d)
declare -A pid=()
# Seconds for which the flows are held; they are looked at from second 12 to 17.
HOLD=18
trap 'kill "${pid[@]}" 2>/dev/null || true; rm -rf "$dir"' EXIT
cp -r examples/loopback/. "$dir"
cd "$dir"
"$bin" certs init --dir keys --service orders=orders.example >/dev/null

millis() { date +%s%3N; }
rss_kb() { awk '/^VmRSS/ {print $2}' "/proc/${pid[$1]}/status"; }
# Processor time in milliseconds: user and system ticks of 10 ms.
cpu_ms() { awk '{print ($14 + $15) * 10}' "/proc/${pid[$1]}/stat"; }
start() {
    local begun; begun=$(millis)
    "$bin" "$1" --config "$1.yaml" >"$1.log" 2>&1 &
    pid[$1]=$!
    until curl -fs "http://127.0.0.1:$2/healthz" >/dev/null; do sleep 0.005; done
    echo "$1: start to serving $(($(millis) - begun)) ms"
}
show() {
    local roles=(control balancer agent) before=() role i
    for role in "${roles[@]}"; do before+=("$(cpu_ms "$role")"); done
    sleep 5
    for i in "${!roles[@]}"; do
        role=${roles[$i]}
        echo "$1: $role $(rss_kb "$role") KB resident, $(($(cpu_ms "$role") - before[i])) ms of processor in 5 s"
    done
}

start control 7501
start balancer 7502
start agent 7503
python3 -m http.server 8080 --bind 127.0.0.1 >/dev/null 2>&1 &
pid[server]=$!
sleep 1
curl -fsS -d '{"id":1,"service":"orders","address":"127.0.0.1:8080","slots":2,"boot_id":"1"}' \
    http://127.0.0.1:7400/v1/announce
sleep 3
show "no flows"
for flows in "${@:-1000 4000 10000}"; do
    for n in $flows; do
        begun=$(millis)
        "$bin" load --to 127.0.0.1:7443 --name orders.example --authority keys/authority.pem \
            --rate 0 --flows "$n" --time "${HOLD}s" >"load-$n.txt" &
        pid[load]=$!
        sleep 12
        show "$n flows"
        wait "${pid[load]}" || true
        echo "opened within $(($(millis) - begun - HOLD * 1000)) ms; $(sed -n 2p "load-$n.txt")"
        sleep 1
    done
done
