#!/bin/sh
# Builds what the scripts of the second review start, beside the programs of the deploy file: the project's own stand-ins and the
# cases. Run it after the build of the deploy file. It needs no network once the modules of the project are there.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/ ./standin/cmd/standin
cd review/rig-2
GOWORK=off go build -o ../../target/review-2/ ./cmd/...
