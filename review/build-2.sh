#!/usr/bin/env bash
# Builds what the scripts of the cases start besides the program of the deploy file, into
# target/review-2/: the cases with their worker and client, and the project's stand-ins for the
# store and for an HTTP server.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags="-std=c++20 -O1 -g -DCPPHTTPLIB_KEEPALIVE_MAX_COUNT=1000000 -ISource -ITests -Ireview/standin-2"
objects=""
pids=()
for source in review/standin-2/*.cpp Tests/Soak/SoakServer.cpp Tests/Soak/SoakStore.cpp \
    Tests/Support/ChildProcess.cpp; do
    object="$out/$(basename "$source" .cpp).o"
    ${CXX:-g++} $flags -c "$source" -o "$object" &
    pids+=($!)
    objects="$objects $object"
done
for pid in "${pids[@]}"; do wait "$pid"; done
${CXX:-g++} $objects -o "$out/cases" -lcpp-httplib -lpthread
