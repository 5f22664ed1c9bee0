#!/usr/bin/env bash
# Runs the Stallgrid example on this machine: installs the packages, builds, starts a platform stand-in, writes the policies
# of examples/stallgrid/ to it, starts six hosts (a daemon and a backend server each) in three data centres, makes calls,
# prints what the caller sees of each outcome, and stops everything gracefully. Exits 0 if every outcome was the expected one.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/packages.sh
tools/build.sh

folder=$(mktemp -d)
processes=() # "pid name", in start order
failures=0

# Kills the processes that still run when the script fails; stop_all has removed those that were stopped.
clean_up() {
    local entry
    for entry in "${processes[@]}"; do
        kill -KILL "${entry%% *}" 2>/dev/null || true
    done
    wait
    if [ "$failures" = 0 ]; then rm -rf "$folder"; else echo "logs: $folder"; fi
}
trap 'failures=$((failures + 1)); exit 1' ERR
trap clean_up EXIT

# Starts a program in the background: start NAME PROGRAM ARGUMENT...
start() {
    local name=$1
    shift
    "$@" >"$folder/$name.out" 2>"$folder/$name.log" &
    processes+=("$! $name")
}

next_port=$((12000 + RANDOM % 15000))
# Sets `address` to a loopback address without a listener.
free_address() {
    while true; do
        next_port=$((next_port + 1))
        (exec 3<>"/dev/tcp/127.0.0.1/$next_port") 2>/dev/null || break
    done
    address=127.0.0.1:$next_port
}

# Retries a command every 0.1 s until it succeeds, 200 times at most: wait_for WHAT COMMAND...
wait_for() {
    local what=$1 try
    shift
    for try in $(seq 200); do
        "$@" >/dev/null 2>&1 && return 0
        sleep 0.1
    done
    echo "not ready: $what"
    failures=$((failures + 1))
    exit 1
}

is_ready() { curl -sf -m 1 "http://$1/ready"; }
routes_ticket() { curl -sf -m 1 -X POST -H "cicadamux-service: $2" -H "cicadamux-operation: $3" "http://$1/cicadamux/ticket"; }
routes_call() { curl -sf -m 1 -X POST -H "cicadamux-service: $2" -H "cicadamux-operation: $3" -d "{\"id\":\"ready-$RANDOM$RANDOM\"}" "http://$1/"; }

echo "Starting the platform's stand-in and putting the policies in"
free_address
platform=$address
start platform build/tests/platform_standin --address="$platform"
wait_for platform curl -sf -m 1 "http://$platform/objects/rank_table"
for file in examples/stallgrid/*.json; do
    name=$(basename "$file" .json)
    object=service_policy/$name
    [ "$name" = rank_table ] && object=rank_table/default
    curl -sf -m 5 -X PUT -H 'if-version: 0' --data-binary "@$file" "http://$platform/objects/$object" >/dev/null
done

# host | data centre | service | calls to other services by operation
hosts=(
    'pitchdesk-1|tbs-1|pitchdesk|{"hold":[["feebox","fee-table"]],"availability":[["feebox","fee-table"]]}'
    'pitchdesk-2|tbs-2|pitchdesk|{"hold":[["feebox","fee-table"]],"availability":[["feebox","fee-table"]]}'
    'feebox-1|tbs-2|feebox|{}'
    'feebox-2|bat-1|feebox|{}'
    'mapview-1|bat-1|mapview|{"browse":[["stallfind","search"],["pitchdesk","availability"]]}'
    'stallfind-1|tbs-1|stallfind|{}'
)
declare -A edge local_address admin backend
first_peer=
echo "Starting ${#hosts[@]} daemons in three data centres"
for row in "${hosts[@]}"; do
    IFS='|' read -r host data_center service calls <<<"$row"
    free_address; edge[$host]=$address
    free_address; local_address[$host]=$address
    free_address; peer=$address
    free_address; admin[$host]=$address
    first_peer=${first_peer:-$peer}
    cat >"$folder/$host.json" <<SETTINGS
{
  "host": "$host", "data_center": "$data_center",
  "edge": {"address": "${edge[$host]}"}, "local": {"address": "${local_address[$host]}"},
  "peer": {"address": "$peer"}, "admin": {"address": "${admin[$host]}"},
  "seeds": ["$first_peer"], "fleet_key": "demo-key-0123456789abcdef0123456789",
  "platform": {"address": "$platform"}
}
SETTINGS
    start "daemon-$host" build/src/cicadamux daemon --settings="$folder/$host.json"
done
for row in "${hosts[@]}"; do wait_for "daemon of ${row%%|*}" is_ready "${admin[${row%%|*}]}"; done
for row in "${hosts[@]}"; do
    IFS='|' read -r host data_center service calls <<<"$row"
    free_address; backend[$host]=$address
    start "backend-$host" build/tests/backend_standin --address="$address" --local="${local_address[$host]}" --service="$service" --calls="$calls"
done
for row in "${hosts[@]}"; do
    host=${row%%|*}
    wait_for "routes of $host" routes_ticket "${edge[$host]}" pitchdesk hold
    wait_for "routes of $host" routes_ticket "${edge[$host]}" feebox pay
    wait_for "routes of $host" routes_call "${edge[$host]}" mapview browse
done

# Makes a call and prints what the caller sees: call TITLE EXPECTED_OUTCOME HOST SERVICE OPERATION ID [HEADER]
call() {
    local title=$1 expected=$2 host=$3 service=$4 operation=$5 id=$6 header=${7:-x-none: 1}
    local status
    status=$(curl -s -m 10 -D "$folder/headers" -o "$folder/body" -w '%{http_code}' -X POST -H "cicadamux-service: $service" \
        -H "cicadamux-operation: $operation" -H "$header" -d "{\"id\":\"$id\"}" "http://${edge[$host]}/$operation") || status=000
    outcome=$(tr -d '\r' <"$folder/headers" | sed -n 's/^cicadamux-outcome: //Ip')
    local verdict=as-expected
    if [ "$outcome" != "$expected" ]; then
        verdict=UNEXPECTED
        failures=$((failures + 1))
    fi
    echo "outcome=$outcome status=$status $verdict at=$host $service.$operation: $title"
    echo "    $(cat "$folder/body")"
}

take_ticket() {
    curl -sf -m 5 -X POST -H "cicadamux-service: $2" -H "cicadamux-operation: $3" "http://${edge[$1]}/cicadamux/ticket" | sed 's/.*"ticket":"\([^"]*\)".*/\1/'
}

# Injects a fault into a backend server: fault HOST JSON
fault() { curl -sf -m 5 -d "$2" "http://${backend[$1]}/control" >/dev/null; }

echo "Calls"
call "through mapview, stallfind, pitchdesk and feebox" answered stallfind-1 mapview browse shopper-1
ticket=$(take_ticket mapview-1 pitchdesk hold)
call "a pitch hold with a ticket" answered mapview-1 pitchdesk hold vendor-7 "cicadamux-ticket: $ticket"
first=$(cat "$folder/body")
call "the same ticket again: the same answer, not run again" answered feebox-1 pitchdesk hold vendor-7 "cicadamux-ticket: $ticket"
[ "$first" = "$(cat "$folder/body")" ] || { echo "UNEXPECTED: another answer"; failures=$((failures + 1)); }
call "a pitch hold without a ticket" not-run mapview-1 pitchdesk hold vendor-8
call "an operation that no policy names" not-run mapview-1 pitchdesk auction vendor-8
fault stallfind-1 '{"fault":"shed"}'
call "the backend server sheds" not-run mapview-1 stallfind search shopper-2
fault stallfind-1 '{"fault":"clear"}'
for host in feebox-1 feebox-2; do fault "$host" '{"fault":"no_answer"}'; done
ticket=$(take_ticket mapview-1 feebox pay)
call "the answer to a fee payment is lost" unknown mapview-1 feebox pay vendor-7 "cicadamux-ticket: $ticket"
for host in feebox-1 feebox-2; do fault "$host" '{"fault":"clear"}'; done
call "the same ticket again: still unknown, not run again" unknown mapview-1 feebox pay vendor-7 "cicadamux-ticket: $ticket"
runs=0
for host in feebox-1 feebox-2; do
    count=$(curl -sf "http://${backend[$host]}/control/runs?operation=pay" | sed -n 's/.*"vendor-7":\([0-9]*\).*/\1/p')
    runs=$((runs + ${count:-0}))
done
echo "    the backend servers ran that payment $runs time(s)"
[ "$runs" = 1 ] || failures=$((failures + 1))
ticket=$(take_ticket mapview-1 feebox pay)
echo "    an unused ticket is voided: $(curl -s -m 5 -X POST -H "cicadamux-ticket: $ticket" "http://${edge[mapview-1]}/cicadamux/ticket/void")"

# Sends SIGTERM to the processes whose names begin with $1, waits for them and checks their exit codes.
stop_all() {
    local entry kept=() code
    for entry in "${processes[@]}"; do
        case "${entry#* }" in "$1"*) kill -TERM "${entry%% *}" ;; esac
    done
    for entry in "${processes[@]}"; do
        case "${entry#* }" in
        "$1"*)
            code=0
            wait "${entry%% *}" || code=$?
            if [ "$code" != 0 ]; then
                echo "${entry#* } ended with $code"
                failures=$((failures + 1))
            fi
            ;;
        *) kept+=("$entry") ;;
        esac
    done
    processes=("${kept[@]}")
}
echo "Stopping: backend servers drain, then the daemons, then the platform's stand-in"
stop_all backend
stop_all daemon
stop_all platform
if [ "$failures" != 0 ]; then
    echo "demo: $failures failure(s)"
    exit 1
fi
echo "demo: all as expected"
