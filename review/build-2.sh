#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 and later, without a network.
set -euo pipefail
cd "$(dirname "$0")/harness-2"
mkdir -p ../../target/review
go build -o ../../target/review/harness-2 .
