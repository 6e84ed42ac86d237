#!/bin/sh
# Builds the stand-ins of the second review.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/standin ./review/_standin2
