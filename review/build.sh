#!/bin/sh
# Builds the stand-ins of the scripts into review/.bin: the review's own and the project's.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/.bin
go build -o review/.bin/standin ./standin/cmd/standin
cd review/rig
GOWORK=off go build -o ../.bin/rig .
