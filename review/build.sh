#!/bin/sh
# Builds the stand-ins that the scripts of this review start. It needs only Go's standard library.
cd "$(dirname "$0")/standin" && GOWORK=off go build -buildvcs=false -o ../bin/standin .
