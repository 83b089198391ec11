#!/bin/sh
# Builds the stand-ins of the review's scripts into review/bin, with the Go toolchain
# alone: they have no dependency.
set -e
cd "$(dirname "$0")/platform"
GOWORK=off go build -o ../bin/standin .
