#!/usr/bin/env bash
# Starts and stops a small site on loopback addresses: the platform's stand-in, the fake engines and services of a
# deployment's document, and entries spread over its failure domains.
#
#   scripts/site.sh start DIR DEPLOYMENT [options]   DIR gets settings, logs and pid files; DEPLOYMENT is a folder of deployments/
#   scripts/site.sh restart DIR NAME                 starts a process of the site again that has ended
#   scripts/site.sh stop DIR [--now]                 ends the site's processes, by their pid files only; entries drain
#                                                    first, with --now they are told twice and don't
#   scripts/site.sh status DIR                       one line a process
#
# Options of start:
#   --entries N     entry processes (3)           --engines N     only the first N backend servers of the document
#   --policy P      standard or naive             --slots N       concurrency of every backend server
#   --token-ms X    pace of the engines (25)      --prefill-ms X  time of 1,000 prompt tokens (60)
#   --console       also start the console        --placer        also start the placer
#   --lag-ms X      age of load reports (500)     --seed N        of the entries' random choices (1)
#   --no-limits     workspaces without limits, to compare policies by their order alone
#   --net N         use 127.N.*; without it a free one is found
# BUILD_DIR names the build folder (build).
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
bin=$(cd "$root" && cd "${BUILD_DIR:-build}" && pwd)/bin
ready_seconds=20
stop_seconds=15
console_token=loopback-site-only # nothing but loopback reaches these processes

fail() {
    echo "site.sh: $*" >&2
    exit 1
}

# --- processes ------------------------------------------------------------------------------------------------------

# Whether the pid file of $1 names a live process that runs the very command that was started under this name.
is_running() {
    local pid program
    [ -f "$site/run/$1.pid" ] && [ -f "$site/run/$1.command" ] || return 1
    pid=$(cat "$site/run/$1.pid")
    program=$(head -1 "$site/run/$1.command")
    [ -r "/proc/$pid/cmdline" ] && [ "$(tr '\0' '\n' <"/proc/$pid/cmdline" | head -1)" = "$program" ]
}

# Sends signal $1 to process $2 if it still runs.
send_signal() {
    if is_running "$2"; then
        kill "-$1" "$(cat "$site/run/$2.pid")" 2>/dev/null || true
    fi
}

run_command() {
    local name=$1 command
    mapfile -t command <"$site/run/$name.command"
    "${command[@]}" </dev/null >>"$site/log/$name.log" 2>&1 &
    echo $! >"$site/run/$name.pid"
}

start_process() {
    local name=$1
    shift
    printf '%s\n' "$@" >"$site/run/$name.command"
    run_command "$name"
}

# Waits until URL $2 of process $1 answers 2xx.
wait_for() {
    local deadline=$((SECONDS + ready_seconds))
    until curl -fsS -o /dev/null --max-time 1 "$2" 2>/dev/null; do
        is_running "$1" || fail "$1 ended: $(tail -3 "$site/log/$1.log")"
        [ "$SECONDS" -lt "$deadline" ] || fail "$1 does not answer $2; see $site/log/$1.log"
        sleep 0.05
    done
}

# Adds a process to site.json's list.
describe() {
    jq -cn --arg kind "$1" --arg name "$2" --arg address "$3" --arg control "$4" --arg pid "$site/run/$2.pid" \
        '{kind: $kind, name: $name, address: $address, control: $control, pid_file: $pid}' >>"$site/processes.jsonl"
}

# --- start ----------------------------------------------------------------------------------------------------------

# Takes the first 127.N.* on which nothing of ours listens. The lock keeps two starts from taking the same one.
choose_net() {
    local candidate
    for candidate in $(seq 10 200); do
        mkdir "/tmp/auburnspread-net-$candidate" 2>/dev/null || continue
        if ! (exec 3<>"/dev/tcp/127.$candidate.0.10/8500") 2>/dev/null; then
            net=$candidate
            echo "$candidate" >"$site/net"
            return
        fi
        rmdir "/tmp/auburnspread-net-$candidate"
    done
    fail "no free loopback network"
}

# The deployment's document with this site's addresses and sizes.
make_document() {
    local source=$root/deployments/$deployment/document.json
    [ -f "$source" ] || fail "$source is missing"
    jq --arg net "127.$net." --argjson engines "${engines:-null}" --argjson slots "${slots:-null}" \
        --arg nolimits "$no_limits" '
        (.backend_servers[].address, .services[].servers[].address) |= sub("^127\\.[0-9]+\\."; $net)
        | if $engines then .backend_servers |= .[:$engines] else . end
        | if $nolimits == "yes" then .workspaces[] |= del(.requests_per_second, .request_burst, .tokens_per_second, .token_burst, .concurrency) else . end
        | if $slots then .backend_servers[].concurrency = $slots else . end' "$source" >"$site/document.json"
}

start_platform() {
    platform=127.$net.0.10:8500
    start_process platform "$bin/fake-platform" --listen "$platform" --control "127.$net.0.10:8501"
    describe platform platform "$platform" "127.$net.0.10:8501"
}

start_engines() {
    local name address concurrency fencing models control
    while IFS=$'\t' read -r name address concurrency fencing models; do
        control=${address%:*}:9001
        local command=("$bin/fake-engine" --name "$name" --listen "$address" --control "$control" --slots "$concurrency"
            --token-ms "$token_ms" --prefill-ms-per-1k "$prefill_ms" --report-lag-ms "$lag_ms" --models "$models" --platform "$platform")
        [ "$fencing" = true ] && command+=(--checks-fencing)
        start_process "$name" "${command[@]}"
        describe engine "$name" "$address" "$control"
    done < <(jq -r '.backend_servers[] | [.name, .address, .concurrency // 8, .checks_fencing // false,
        ([.models[] | . as $m | ($m.model + ":" + $m.version), (($m.adapters // [])[] | $m.model + ":" + $m.version + ":" + .)] | join(","))] | @tsv' \
        "$site/document.json")
}

start_services() {
    local service name address control
    while IFS=$'\t' read -r service name address; do
        control=${address%:*}:9101
        start_process "$name" "$bin/fake-service" --name "$service" --listen "$address" --control "$control"
        describe service "$name" "$address" "$control"
    done < <(jq -r '.services[] | .name as $s | .servers[] | [$s, .name, .address] | @tsv' "$site/document.json")
}

write_entry_settings() {
    local index=$1 domain=$2 region=$3 seeds=$4
    cat >"$site/entry-$index.ini" <<INI
[entry]
name = entry-$index
failure_domain = $domain
region = $region
policy = $policy
seed = $((seed + index))
[listen]
caller = 127.$net.1.$index:8080
admin = 127.$net.1.$index:8081
peer = 127.$net.1.$index:8082
[platform]
address = $platform
[peers]
seeds = $seeds
secret = loopback-site-secret-only
INI
}

start_entries() {
    local index domain region seeds other
    mapfile -t domains < <(jq -r '.failure_domains[] | [.name, .region] | @tsv' "$site/document.json")
    for index in $(seq "$entries"); do
        IFS=$'\t' read -r domain region <<<"${domains[$(((index - 1) % ${#domains[@]}))]}"
        seeds=
        for other in $(seq "$entries"); do
            [ "$other" = "$index" ] || seeds+="${seeds:+, }127.$net.1.$other:8082"
        done
        write_entry_settings "$index" "$domain" "$region" "$seeds"
        start_process "entry-$index" "$bin/auburnspread-entry" --config "$site/entry-$index.ini"
        describe entry "entry-$index" "127.$net.1.$index:8080" "127.$net.1.$index:8081"
    done
}

submit_document() {
    "$bin/auburnspreadctl" submit --platform "$platform" "$site/document.json" >"$site/log/submit.log" 2>&1 \
        || fail "the document was not taken: $(tail -3 "$site/log/submit.log")"
}

start_optional() {
    if [ "$console" = yes ]; then
        start_process console "$bin/auburnspread-console" --set "listen.address=127.$net.0.20:8090" --set "platform.address=$platform" \
            --set "operators.tokens=operator:$console_token"
        describe console console "127.$net.0.20:8090" "127.$net.0.20:8090"
        echo "console: http://127.$net.0.20:8090, operator's token $console_token"
    fi
    if [ "$placer" = yes ]; then
        start_process placer "$bin/auburnspread-placer" --set placer.name=placer-1 --set "listen.admin=127.$net.0.21:8091" \
            --set "platform.address=$platform"
        describe placer placer "127.$net.0.21:8091" "127.$net.0.21:8091"
    fi
}

write_site() {
    jq -s --arg policy "$policy" --arg deployment "$deployment" --arg document "$site/document.json" \
        '{policy: $policy, deployment: $deployment, document: $document, processes: .}' "$site/processes.jsonl" >"$site/site.json"
}

wait_until_ready() {
    local kind name address control
    while IFS=$'\t' read -r kind name address control; do
        case $kind in
        platform) wait_for "$name" "http://$control/control/counts" ;;
        engine) wait_for "$name" "http://$address/health" ;;
        service) wait_for "$name" "http://$control/control/executions" ;;
        entry) wait_for "$name" "http://$control/readyz" ;;
        *) wait_for "$name" "http://$control/healthz" ;;
        esac
    done < <(jq -r '[.kind, .name, .address, .control] | @tsv' "$site/processes.jsonl")
}

start_site() {
    deployment=${1:?DEPLOYMENT is missing}
    shift
    entries=3 policy=standard token_ms=25 prefill_ms=60 lag_ms=500 seed=1 console=no placer=no no_limits=no engines='' slots='' net=''
    while [ "$#" -gt 0 ]; do
        case $1 in
        --console | --placer | --no-limits)
            local flag=${1#--}
            declare -g "${flag//-/_}=yes"
            shift
            continue
            ;;
        --entries | --policy | --engines | --slots | --token-ms | --prefill-ms | --lag-ms | --seed | --net) ;;
        *) fail "unknown option $1" ;;
        esac
        [ "$#" -ge 2 ] || fail "$1 needs a value"
        local variable=${1#--}
        declare -g "${variable//-/_}=$2"
        shift 2
    done
    [ ! -e "$site/site.json" ] || fail "$site holds a site already; stop it first"
    mkdir -p "$site/run" "$site/log"
    site=$(cd "$site" && pwd)
    : >"$site/processes.jsonl"
    [ -n "$net" ] || choose_net
    trap '[ "$?" = 0 ] || stop_site --now' EXIT
    make_document
    start_platform
    start_engines
    start_services
    wait_until_ready
    if [ "$entries" -gt 0 ]; then
        submit_document
        start_entries
        start_optional
        wait_until_ready
    fi
    write_site
    echo "site $deployment with $entries entries (policy $policy) is ready in $site on 127.$net.*"
}

# --- stop -----------------------------------------------------------------------------------------------------------

names() {
    local file
    for file in "$site"/run/*.pid; do
        [ -e "$file" ] && basename "$file" .pid
    done
}

stop_site() {
    local name deadline
    # Programs of the product first: they drain while the stand-ins still serve.
    for name in $(names); do
        send_signal CONT "$name"
        case $name in entry-* | console | placer) send_signal TERM "$name" ;; esac
    done
    if [ "${1:-}" = --now ]; then
        sleep 0.3 # two signals of a kind at once are delivered as one
        for name in $(names); do
            case $name in entry-*) send_signal TERM "$name" ;; esac
        done
    fi
    deadline=$((SECONDS + stop_seconds))
    for name in $(names); do
        case $name in entry-* | console | placer) ;; *) continue ;; esac
        while is_running "$name" && [ "$SECONDS" -lt "$deadline" ]; do sleep 0.05; done
        if is_running "$name"; then
            echo "site.sh: $name did not end within $stop_seconds s of SIGTERM; killed" >&2
            send_signal KILL "$name"
        fi
    done
    for name in $(names); do
        send_signal TERM "$name"
    done
    if [ -f "$site/net" ]; then
        rmdir "/tmp/auburnspread-net-$(cat "$site/net")" 2>/dev/null || true
    fi
    rm -f "$site"/run/*.pid "$site/site.json" "$site/net"
}

# --- commands -------------------------------------------------------------------------------------------------------

[ "$#" -ge 2 ] || fail "usage: site.sh start|restart|stop|status DIR ..."
verb=$1
site=$2
shift 2
case $verb in
start) start_site "$@" ;;
restart)
    is_running "${1:?NAME is missing}" && fail "$1 still runs"
    run_command "$1"
    ;;
stop) stop_site "$@" ;;
status)
    for name in $(names); do
        if is_running "$name"; then echo "$name $(cat "$site/run/$name.pid") running"; else echo "$name ended"; fi
    done
    ;;
*) fail "unknown command $verb" ;;
esac
