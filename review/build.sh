#!/usr/bin/env bash
# Builds the stand-ins of the cases: clients, targets, operator and platform in one program.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p target
cd harness
GOFLAGS= GOWORK=off go build -o ../target/harness .
