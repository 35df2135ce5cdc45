#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start. The product itself is built by
# the line of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/standin
