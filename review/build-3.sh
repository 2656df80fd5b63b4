#!/bin/sh
# Builds the stand-ins of the cases of the third review. The programs of the deploy file are built by its own command.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
go build -tags review -o target/review-3/ ./review/standin-3/orders
