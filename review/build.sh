#!/usr/bin/env bash
# Builds the stand-ins of the scripts: store, targets, clients and proxies, all in one program.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-drive ./review/drive
