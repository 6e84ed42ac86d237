#!/bin/sh
# Builds the stand-ins that the scripts of the third review start, after the build of deploy/system.toml.
cd "$(dirname "$0")/.." || exit 2
go build -tags review3 -o target/review3/standin3 ./review/standin3
