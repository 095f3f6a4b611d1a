#!/usr/bin/env bash
# Builds what the scripts of the cases 6 to 9 start besides the program of the deploy file, into
# target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -g -Wall -Wextra -o target/review-2/cases review/standin-2/*.cpp \
    -lcpp-httplib -pthread
