#!/usr/bin/env bash
# Runs every role of a deployment as a process of its own: the stand-ins, one agent beside each
# upstream and two routers. Prints curl commands and stops everything on exit.
#
# Usage: run-deployment.sh DEPLOYMENT [--once]
#   --once     runs the printed commands, then stops; the exit status is 1 if one failed
# Environment:
#   PORT_BASE  first of the loopback ports; 4 + 3 an upstream + 3 a router are used
#   BIN_DIR    folder of the binaries; they are built if it is not set
#   WAIT_S     longest wait for readiness, 60 by default
set -euo pipefail

deployment=${1:?"usage: run-deployment.sh DEPLOYMENT [--once]"}
once=${2:-}
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
port=${PORT_BASE:?"PORT_BASE is not set; choose the first port"}
wait_s=${WAIT_S:-60}
routers=2
caller_token=example-token
operator_token=example-operator-token
description=$root/examples/$deployment.yaml
work=$(mktemp -d)
pids=()

stop() {
    # The routers were started last and finish their work while the agents still answer.
    local i
    for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
        kill -TERM "${pids[i]}" 2>/dev/null || true
        wait "${pids[i]}" 2>/dev/null || true
    done
    rm -rf "$work"
}
trap stop EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

fail() {
    echo "$1" >&2
    tail -n 5 "$work"/*.log >&2 || true
    exit 1
}

take_port() {
    taken=$port
    port=$((port + 1))
}

start() { # NAME COMMAND...
    "${@:2}" >"$work/$1.log" 2>&1 &
    pids+=($!)
}

wait_for() { # WHAT COMMAND...
    local end=$((SECONDS + wait_s))
    until "${@:2}" >/dev/null 2>&1; do
        ((SECONDS < end)) || fail "$1 is not ready after $wait_s s"
        sleep 0.1
    done
}

# Fills a template: each argument NAME=VALUE replaces @NAME@.
fill() {
    local script=() pair
    for pair in "${@:2}"; do
        script+=(-e "s|@${pair%%=*}@|${pair#*=}|g")
    done
    sed "${script[@]}" "$1"
}

statements() {
    "$BIN_DIR/dandelionwall" --router "127.0.0.1:$admin_port" --token-file "$work/token" "$@"
}

accepting_agents() {
    local answer
    answer=$(statements --format json 'list node where accepting = true')
    (($(grep -o '"agent-[^"]*"' <<<"$answer" | sort -u | wc -l) == ${#upstreams[@]}))
}

if [[ -z ${BIN_DIR:-} ]]; then
    (cd "$root" && cargo build --quiet --bins)
    BIN_DIR=$root/target/debug
fi

printf '%s' "$operator_token" >"$work/token"
operator_sha256=$(sha256sum "$work/token" | cut -d ' ' -f 1)
platform=()
for service in TABLE OBJECTS VMS WEIGHTS; do
    take_port
    platform+=("${service}_PORT=$taken")
done
mapfile -t upstreams < <(awk '/^  - name:/ {n = $3} /^    data_centre:/ {print n, $2}' "$description")

vms=$work/vms
for line in "${upstreams[@]}"; do
    read -r upstream data_centre <<<"$line"
    ports=()
    for use in UPSTREAM DATA CONTROL; do
        take_port
        ports+=("$taken")
    done
    echo "$upstream ${ports[0]}" >>"$work/listen"
    fill "$root/examples/agent.yaml" "NODE=agent-$upstream" "DATA_CENTRE=$data_centre" \
        "UPSTREAM=$upstream" "UPSTREAM_PORT=${ports[0]}" "DATA_PORT=${ports[1]}" \
        "CONTROL_PORT=${ports[2]}" "${platform[@]}" >"$work/agent-$upstream.yaml"
    echo "    - {name: agent-$upstream, role: agent, state: live, data_centre: $data_centre," \
        "data_addr: '127.0.0.1:${ports[1]}', control_addr: '127.0.0.1:${ports[2]}'," \
        "upstream: $upstream}" >>"$vms"
done

caller_ports=()
admin_ports=()
for ((i = 1; i <= routers; i++)); do
    read -r _ data_centre <<<"${upstreams[i - 1]}"
    ports=()
    for use in DATA CONTROL ADMIN; do
        take_port
        ports+=("$taken")
    done
    caller_ports+=("${ports[0]}")
    admin_ports+=("${ports[2]}")
    fill "$root/examples/router.yaml" "NODE=router-$i" "DATA_CENTRE=$data_centre" \
        "DATA_PORT=${ports[0]}" "CONTROL_PORT=${ports[1]}" "ADMIN_PORT=${ports[2]}" \
        "OPERATOR_SHA256=$operator_sha256" "${platform[@]}" >"$work/router-$i.yaml"
    echo "    - {name: router-$i, role: router, state: live, data_centre: $data_centre," \
        "data_addr: '127.0.0.1:${ports[0]}', control_addr: '127.0.0.1:${ports[1]}'}" >>"$vms"
done
admin_port=${admin_ports[0]}

# Gives every stand-in its address and the VM list its entries.
{
    awk -v listen_file="$work/listen" -v vms_file="$vms" -v vms_port="${platform[2]#*=}" '
        BEGIN { while ((getline line < listen_file) > 0) { split(line, f, " "); ports[f[1]] = f[2] } }
        { print }
        /^  - name:/ { name = $3 }
        /^    data_centre:/ { print "    listen: 127.0.0.1:" ports[name] }
        /^vms:/ {
            print "  listen: 127.0.0.1:" vms_port
            print "  vms:"
            while ((getline line < vms_file) > 0) print line
        }
    ' "$description"
    echo "table: {listen: '127.0.0.1:${platform[0]#*=}'}"
    echo "objects: {listen: '127.0.0.1:${platform[1]#*=}'}"
    echo "weights: {listen: '127.0.0.1:${platform[3]#*=}'}"
} >"$work/standin.yaml"

start standin "$BIN_DIR/dandelionwall-standin" --settings "$work/standin.yaml"
wait_for "the stand-ins" grep -q 'standin=weights' "$work/standin.log"
for line in "${upstreams[@]}"; do
    read -r upstream _ <<<"$line"
    start "agent-$upstream" "$BIN_DIR/dandelionwall-agent" --settings "$work/agent-$upstream.yaml"
done
for ((i = 1; i <= routers; i++)); do
    start "router-$i" "$BIN_DIR/dandelionwall-router" --settings "$work/router-$i.yaml"
    wait_for "router-$i" curl -sf "http://127.0.0.1:${admin_ports[i - 1]}/healthz"
done
statements --file "$root/examples/$deployment.dw" >"$work/statements.log" 2>&1 ||
    fail "the example configuration was not accepted: $(tail -n 3 "$work/statements.log")"
for admin in "${admin_ports[@]}"; do
    wait_for "the router with administration port $admin" curl -sf "http://127.0.0.1:$admin/readyz"
done
wait_for "an agent" accepting_agents

source "$root/scripts/examples-$deployment.sh"
echo "$deployment: ${#upstreams[@]} agents, $routers routers; logs in $work"
echo
failed=0
for command in "${commands[@]}"; do
    echo "$command"
    if [[ $once == --once ]]; then
        PATH=$BIN_DIR:$PATH bash -c "$command" || failed=1
        echo
    fi
done
[[ $once == --once ]] && exit "$failed"
echo
echo "Press Ctrl-C to stop."
while true; do
    sleep 3600 &
    wait $!
done
