#!/usr/bin/env bash
# Builds the stand-ins of the cases of REPORT-3.md. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/harness-3"
GOFLAGS=-mod=mod GOWORK=off go build -o ../../target/review-3/harness .
