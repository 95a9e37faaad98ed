#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into target/review-2/, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."

if [ ! -f target/src/http/libbth_http.a ]; then
    echo "target/ has no libraries: run the build of deploy/system.toml first." >&2
    exit 2
fi
out=target/review-2
mkdir -p "$out"
standins=platform/tests/standins
shared=("$standins/platform_store.cpp" "$standins/platform_upstream.cpp" "$standins/platform_messages.cpp"
    tests/support/child_process.cpp review/standins-2/small_deployment.cpp
    review/standins-2/store_proxy.cpp)
drivers=(review/standins-2/revoked_key_after_restore.cpp review/standins-2/removal_after_a_cut.cpp)
flags=(-std=c++20 -O1 -DBOOST_LOG_DYN_LINK -Isrc "-I$standins" -Itests/support -Ireview/standins-2)
libraries=(target/src/http/libbth_http.a target/src/global/libbth_global.a -lboost_json -lboost_log
    -lboost_thread -lz -lxxhash -lsodium -pthread)

pids=()
compile() {
    echo "compiling $1"
    g++ "${flags[@]}" -c "$1" -o "$out/$(basename "$1" .cpp).o" &
    pids+=($!)
}
for source in "${shared[@]}"; do
    compile "$source"
done
for source in "${drivers[@]}"; do
    compile "$source"
done
for pid in "${pids[@]}"; do
    wait "$pid"
done
objects=()
for source in "${shared[@]}"; do
    objects+=("$out/$(basename "$source" .cpp).o")
done
for source in "${drivers[@]}"; do
    name=$(basename "$source" .cpp)
    echo "linking $out/$name"
    g++ "$out/$name.o" "${objects[@]}" "${libraries[@]}" -o "$out/$name"
done
