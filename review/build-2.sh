#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, beside the program of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-rig ./review/rig
