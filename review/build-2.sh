#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o review/bin/standin-2 ./review/standin-2
