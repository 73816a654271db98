#!/bin/sh
# Builds every stand-in that the cases' scripts start. The build line of the deploy file
# comes first; nothing is fetched.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/standin ./review/standin
