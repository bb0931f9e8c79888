#!/bin/sh
# Builds the stand-ins and checks of the cases into target/review/cases.
set -e
cd "$(dirname "$0")"
mkdir -p ../target/review
exec go test -c -o ../target/review/cases ./cases
