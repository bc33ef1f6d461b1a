#!/usr/bin/env bash
# Runs the load scenarios against sites on loopback addresses and writes docs/measurements/*.md and .json.
#
#   scripts/bench.sh [--quick] [--compare P,Q] [--out DIR] [--deployment NAME] [NAME...]
#
#   --quick            three short scenarios of one deployment and the idle cost: under 2 minutes; without it under 10
#   --compare P,Q      policies to run every scenario with (standard,naive); the ratio of the first to the second is printed
#   --out DIR          where the results go (docs/measurements)
#   --deployment NAME  only this deployment
#   NAME               only these scenarios: the names of the list below
# BUILD_DIR names the build folder (build). A run that fails is reported as failed and the others go on.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
work=$(mktemp -d)
out=docs/measurements
quick=no
policies=standard,naive
only_deployment=
only=()

# name, files besides the deployment's steady.ini ("@" stands for the deployment), policies: "both" or "first"
scenarios=(
    "steady      -                                                              both"
    "burst-high  @/burst-high                                                   both"
    "burst-low   @/burst-low                                                    first"
    "stragglers  faults/stragglers                                              both"
    "crash       faults/crash                                                   first"
    "silent      faults/silent                                                  first"
    "crossed     faults/crossed                                                 first"
    "killer      @/killer                                                       both"
    "platform-out faults/platform-out                                           first"
    "entry-killed faults/entry-killed                                           first"
    "drain       faults/drain                                                   first"
    "storm       @/burst-high,faults/crash,faults/platform-out                  both"
)
quick_names=" steady burst-high crash "

while [ "$#" -gt 0 ]; do
    case $1 in
    --quick) quick=yes ;;
    --compare) policies=$2 && shift ;;
    --out) out=$2 && shift ;;
    --deployment) only_deployment=$2 && shift ;;
    --*) echo "bench.sh: unknown option $1" >&2 && exit 1 ;;
    *) only+=("$1") ;;
    esac
    shift
done
mkdir -p "$out"

site=
cleanup() {
    [ -z "$site" ] || [ ! -d "$site/run" ] || scripts/site.sh stop "$site" --now || true
}
trap cleanup EXIT

wanted() {
    local name
    [ "$quick" = no ] || [[ $quick_names == *" $1 "* ]] || return 1
    [ "${#only[@]}" -gt 0 ] || return 0
    for name in "${only[@]}"; do [ "$name" != "$1" ] || return 0; done
    return 1
}

# One scenario with one policy on a fresh site; the report lands in $work.
run_one() {
    local deployment=$1 name=$2 parts=$3 policy=$4 part status=0
    local files=("scenarios/$deployment/steady.ini") report=$work/$deployment.$name.$policy
    for part in ${parts//,/ }; do
        [ "$part" = - ] || files+=("scenarios/${part//@/$deployment}.ini")
    done
    site=$work/site-$deployment-$name-$policy
    if ! scripts/site.sh start "$site" "$deployment" --policy "$policy" >"$report.log" 2>&1; then
        echo "{\"scenario\":\"$deployment-$name\",\"policy\":\"$policy\",\"failed\":\"site did not start\"}" >"$report.json"
        echo "== $deployment $name ($policy): FAILED, the site did not start: $(tail -1 "$report.log")"
        return
    fi
    "$build/bin/auburnspread-load" --site "$site" --json "$report.full" --calls "$report.calls" --plot "$report.svg" "${files[@]}" >"$report.txt" 2>>"$report.log" || status=$?
    scripts/site.sh stop "$site" --now 2>&1 | tee -a "$report.log"
    site=
    echo "== $deployment $name ($policy): exit $status"
    cat "$report.txt"
    if [ ! -s "$report.full" ]; then
        echo "{\"scenario\":\"$deployment-$name\",\"policy\":\"$policy\",\"failed\":\"exit $status\"}" >"$report.json"
        return
    fi
    jq --arg name "$name" --arg deployment "$deployment" --arg command "auburnspread-load --site SITE ${files[*]}" \
        '{name: $name, deployment: $deployment, command: $command} + .' "$report.full" >"$report.json"
}

run_scenarios() {
    local deployment=$1 line name parts which policy
    for line in "${scenarios[@]}"; do
        read -r name parts which <<<"$line"
        wanted "$name" || continue
        for policy in ${policies//,/ }; do
            run_one "$deployment" "$name" "$parts" "$policy"
            { [ "$which" = both ] && [ "$quick" = no ]; } || break
        done
    done
}

measure_idle_cost() {
    local deployment=highveld class=full-quote calls=300
    [ "$quick" = no ] || calls=100
    site=$work/site-idle
    if ! scripts/site.sh start "$site" "$deployment" --entries 1 --slots 128 >"$work/idle.log" 2>&1; then
        echo '{"failed":"site did not start"}' >"$work/idle.json"
        site=
        return
    fi
    "$build/bin/auburnspread-load" --site "$site" --first-byte "$calls" --class "$class" >"$work/first-byte.json" || echo '{"failed":true}' >"$work/first-byte.json"
    "$build/bin/auburnspread-load" --site "$site" --concurrent 600 --class "$class" --tokens 400 >"$work/concurrent.json" || echo '{"failed":true}' >"$work/concurrent.json"
    scripts/site.sh stop "$site" --now
    site=
    jq -n --slurpfile first "$work/first-byte.json" --slurpfile concurrent "$work/concurrent.json" \
        '{command: "scripts/site.sh start SITE highveld --entries 1 --slots 128", first_byte: $first[0], concurrent: $concurrent[0]}' >"$work/idle.json"
    cat "$work/idle.json"
}

# --- pages ----------------------------------------------------------------------------------------------------------

percent='def percent: (. * 1000 | round / 10 | tostring) + "%";
         def counts: to_entries | map("\(.key) \(.value)") | join(", ") | if . == "" then "-" else . end;'

write_runs() {
    jq -r "$percent"'
        "## \(.name), policy \(.policy)\n",
        if .failed then "FAILED: \(.failed)\n" else
        "`\(.command)` (seed \(.seed), \(.duration_ms / 1000) s of arrivals)\n",
        "| flow | tier | offered | first token | pace | answer | on time | good/s | first token p50/p95 ms | refusals and errors by reason |",
        "|---|---|---|---|---|---|---|---|---|---|",
        (.flows[] | "| \(.flow) | \(.tier) | \(.offered) | \(.attainment.first_token | percent) | \(.attainment.pace | percent) | \(.attainment.answer | percent) | \(.attainment.on_time | percent) | \(.goodput_per_s * 100 | round / 100) | \(.first_token_ms.p50 | round)/\(.first_token_ms.p95 | round) | \(.refusals | counts) |"),
        "\nTokens: \(.tokens.generated) generated, \(.tokens.delivered) delivered, \(.tokens.wasted) wasted (\(.tokens.wasted_share | percent)): \(.tokens.cut_off) cut off, \(.tokens.duplicated) duplicated, \(.tokens.discarded) discarded; \(.tokens.unlogged) delivered tokens are in no log (crashed engines lose theirs).",
        "Broken promises: \(.violations.total) (\(.violations | del(.total, .examples) | with_entries(select(.value > 0)) | counts)).\n" end' "$1"
}

write_ratios() {
    local deployment=$1 first=${policies%%,*} second=${policies##*,} report name
    echo "## Ratio $first / $second"
    echo
    echo "| scenario | flow | on time $first | on time $second | ratio | good/s $first | good/s $second | ratio | wasted share $first | wasted share $second |"
    echo "|---|---|---|---|---|---|---|---|---|---|"
    for report in "$work/$deployment".*."$second.json"; do
        [ -e "$report" ] || continue
        name=$(jq -r '.name // .scenario' "$report")
        jq -rn "$percent"'def ratio($a; $b): if $b > 0 then ($a / $b * 100 | round / 100) elif $a > 0 then "inf" else "-" end;
            input as $a | input as $b
            | if $a.failed or $b.failed then "| '"$name"' | not run | | | | | | | | |" else
            range($a.flows | length) as $i | $a.flows[$i] as $x | $b.flows[$i] as $y
            | "| '"$name"' | \($x.flow) | \($x.attainment.on_time | percent) | \($y.attainment.on_time | percent) | \(ratio($x.attainment.on_time; $y.attainment.on_time)) | \($x.goodput_per_s * 100 | round / 100) | \($y.goodput_per_s * 100 | round / 100) | \(ratio($x.goodput_per_s; $y.goodput_per_s)) | \($a.tokens.wasted_share | percent) | \($b.tokens.wasted_share | percent) |" end' \
            "$work/$deployment.$name.$first.json" "$report"
    done
    echo
}

write_pages() {
    local deployment=$1 page=$out/load-$1 report
    compgen -G "$work/$deployment.*.json" >/dev/null || return 0
    jq -s 'map(del(.timeline, .engine_starts))' "$work/$deployment".*.json >"$page.json"
    {
        echo "# Load runs of $deployment"
        echo
        echo "Written by \`scripts/bench.sh$([ "$quick" = yes ] && echo " --quick" || true)\` on $(nproc) cores, commit $(git rev-parse --short HEAD), load average at the end$(uptime | sed 's/.*load average//')."
        echo "The naive policy applies no workspace limits: where a burst exceeds them, the standard policy's refusals name them."
        echo "Each run has a fresh site: \`scripts/site.sh start SITE $deployment --policy POLICY\`. Percentages are of the offered calls (first token and pace: of the offered streams);"
        echo "on time: whole and right, first token and answer within the class's targets; good: on time, not asked twice, and executed once if not repeatable."
        echo
        if [ "$quick" = no ] && [ "${policies%%,*}" != "${policies##*,}" ]; then write_ratios "$deployment"; fi
        for report in "$work/$deployment".*.json; do write_runs "$report"; done
    } >"$page.md"
    if [ -e "$work/$deployment.burst-high.standard.gp" ] && gnuplot "$work/$deployment.burst-high.standard.gp"; then
        cp "$work/$deployment.burst-high.standard.svg" "$out/$deployment-burst-high.svg"
    fi
    echo "wrote $page.md and $page.json"
}

write_idle_page() {
    cp "$work/idle.json" "$out/idle-cost.json"
    jq -r '"# Idle cost of an entry\n",
        if .failed then "FAILED: \(.failed)" else
        "Written by `scripts/bench.sh`. Site: `\(.command)`.\n",
        "- Time to the first token, \(.first_byte.calls) calls each way, one at a time, each on a new connection, medians: \(.first_byte.direct_median_us) us straight to an engine, \(.first_byte.routed_median_us) us through the entry: \(.first_byte.added_us) us added; \(.first_byte.failed) calls failed (`auburnspread-load --site SITE --first-byte \(.first_byte.calls) --class full-quote`).",
        "- Memory: \(.concurrent.before_kb) KB resident before, \(.concurrent.open_kb) KB with \(.concurrent.open) of \(.concurrent.asked) streams open (\(.concurrent.begun) begun): \(.concurrent.kb_per_open_stream * 10 | round / 10) KB for an open stream (the rest met the limits of their workspaces; `auburnspread-load --site SITE --concurrent \(.concurrent.asked) --class full-quote --tokens 400`)." end' \
        "$work/idle.json" >"$out/idle-cost.md"
    echo "wrote $out/idle-cost.md"
}

deployments=(highveld smetnja)
[ "$quick" = no ] || deployments=(highveld)
[ -z "$only_deployment" ] || deployments=("$only_deployment")
# Two deployments at a time: a site of today's size uses about two cores.
run_deployment() {
    trap cleanup EXIT
    run_scenarios "$1"
    write_pages "$1"
}
for deployment in "${deployments[@]}"; do
    run_deployment "$deployment" >"$work/$deployment.out" 2>&1 &
done
wait
for deployment in "${deployments[@]}"; do cat "$work/$deployment.out"; done
if [ "${#only[@]}" -eq 0 ]; then
    measure_idle_cost
    write_idle_page
fi
echo "reports and logs: $work"
