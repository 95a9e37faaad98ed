#!/usr/bin/env bash
# Runs two builds beside each other, as a rolling update does: tests/mixed_builds.sh OLD_BUILD NEW_BUILD [SEED]
# Both are build folders with their programs in bin/. Run by hand; ends with "N passed, N failed".
#
#  settings   each build checks the settings files of the gateways and prints the daemon's settings: same results
#  gateways   the soak starts gateways of both builds in turn, also at each restart
#  relays     gateways of one build follow a relay of the other, in both directions
#  explain    each build reads the logs that both wrote and finds the same lines
#  daemons    the process tests start daemons and the operators' tool of both builds in turn: stored lists,
#             heartbeats, owners and handovers cross between the builds
set -uo pipefail
[ $# -ge 2 ] || { sed -n 2,3p "$0"; exit 2; }
old=$(realpath "$1")
new=$(realpath "$2")
seed=${3:-$RANDOM}
work=$(mktemp -d)
passed=0
failed=0
moved=()

restore() {
    for name in "${moved[@]}"; do
        mv -f "$new/bin/$name.new" "$new/bin/$name"
    done
}
trap restore EXIT

check() { # check NAME COMMAND...: counts and prints the result
    local name=$1
    shift
    if "$@" >"$work/output" 2>&1; then
        passed=$((passed + 1))
        echo "passed: $name"
    else
        failed=$((failed + 1))
        echo "FAILED: $name"
        tail -n 30 "$work/output"
    fi
}

# alternating PROGRAM OLD NEW FILE: writes a script that starts OLD and NEW in turn and notes each start.
alternating() {
    cat >"$4" <<END
#!/usr/bin/env bash
exec 9>>"$work/$1.starts"
flock 9
if [ \$((\$(wc -l <"$work/$1.starts") % 2)) -eq 0 ]; then program=$2 build=old; else program=$3 build=new; fi
case "\$*" in *--settings*) name=\$(basename "\${!#}" .conf); cp "\${!#}" "$work/" ;; *) name= ;; esac
echo "\$(date +%s%3N) \$name \$build" >&9
exec 9>&-
[ -z "\$name" ] || exec "\$program" "\$@" >"$work/\$name.\$(date +%s%3N).\$build.log" 2>&1
exec "\$program" "\$@"
END
    chmod +x "$4"
}

started_both() { # started_both PROGRAM: both builds were started
    grep -c old "$work/$1.starts" && grep -c new "$work/$1.starts"
}

same_settings() {
    local file
    for file in "$work"/*.conf; do
        "$old/bin/buckthornhill-gateway" --settings "$file" --check >"$work/a" || return 1
        "$new/bin/buckthornhill-gateway" --settings "$file" --check >"$work/b" || return 1
    done
    printf 'instance = x\nbound = nothing=1\n' >"$work/wrong.settings"
    "$old/bin/buckthornhill-gateway" --settings "$work/wrong.settings" --check >/dev/null 2>&1
    local expected=$?
    "$new/bin/buckthornhill-gateway" --settings "$work/wrong.settings" --check >/dev/null 2>&1
    [ $? -eq $expected ] && [ $expected -ne 0 ]
}

same_daemon_settings() {
    local build
    for build in "$old" "$new"; do
        BTH_PEER_KEY=key BTH_LINK_MBIT=31 "$build/bin/buckthornhilld" --id=a --region=r --domain=d \
            --store=127.0.0.1:9 --print-settings >"$work/settings.$(basename "$build")$((build_number++))" || return 1
    done
    cmp "$work"/settings.*
}

follows_across() { # follows_across FROM TO: a gateway of build FROM followed a relay of build TO
    local line time relay last
    grep -h '"event":"follows"' "$work"/*."$1".log | while read -r line; do
        time=$(grep -oP '"time_ms":\K[0-9]+' <<<"$line")
        relay=$(grep -oP '"relay":"\K[^"]+' <<<"$line")
        last=$(awk -v at="$time" -v name="$relay" '$2 == name && $1 <= at {build = $3} END {print build}' \
            "$work/buckthornhill-gateway.starts")
        echo "$last"
    done | grep -c "^$2$"
}

same_explanation() {
    local id logs=("$work"/g*.log) ids build
    mapfile -t ids < <(grep -h '"event":"answer"' "${logs[@]}" | grep -v '"outcome":"answered"' |
        grep -oP '"request":"\K[^"]+' | head -n 20)
    [ "${#ids[@]}" -gt 0 ] || return 1
    for id in "${ids[@]}"; do
        "$old/bin/buckthornhillctl" explain "$id" "${logs[@]}" --json >"$work/a" || return 1
        "$new/bin/buckthornhillctl" explain "$id" "${logs[@]}" --json >"$work/b" || return 1
        cmp "$work/a" "$work/b" || return 1
    done
    echo "${#ids[@]} requests explained"
}

build_number=0
echo "seed $seed"
alternating buckthornhill-gateway "$old/bin/buckthornhill-gateway" "$new/bin/buckthornhill-gateway" "$work/gateway"
check "gateways: soak with the new build's tool" \
    "$new/bin/bth-soak" --gateway "$work/gateway" --seed "$seed" --runs 2 --seconds 10 --logs "$work/soak"
check "gateways: soak with the old build's tool" \
    "$old/bin/bth-soak" --gateway "$work/gateway" --seed "$((seed + 2))" --runs 1 --seconds 10 --logs "$work/soak"
check "gateways: both builds were started" started_both buckthornhill-gateway
check "relays: old follows new" follows_across old new
check "relays: new follows old" follows_across new old
check "settings: gateways" same_settings
check "settings: daemon" same_daemon_settings
check "explain: same lines" same_explanation

for name in buckthornhilld buckthornhillctl; do
    mv "$new/bin/$name" "$new/bin/$name.new"
    moved+=("$name")
    alternating "$name" "$old/bin/$name" "$new/bin/$name.new" "$new/bin/$name"
done
check "daemons: process tests" ctest --test-dir "$new" -R '^process_' --output-on-failure --no-tests=error -j 2
check "daemons: both builds were started" started_both buckthornhilld
check "operators' tool: both builds were started" started_both buckthornhillctl
restore
moved=()
[ "$failed" -eq 0 ] && rm -rf "$work" || echo "logs and settings: $work"
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
