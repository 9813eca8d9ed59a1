#!/usr/bin/env bash
# Builds the stand-ins that the cases start, all in one program.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-lab ./review/lab
