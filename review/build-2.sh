#!/bin/sh
# Builds the stand-ins that the scripts of the second review start.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review && go build -o target/review/standin-2 ./review/standin-2
