#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases 6 to 10 into target/review-2/. They use
# nothing but the standard library.
set -euo pipefail
project=$(cd "$(dirname "$0")/.." && pwd)
cd "$project/review/stand2"
GOWORK=off go build -o "$project/target/review-2/" ./cmd/...
