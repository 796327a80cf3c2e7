#!/bin/bash
# Builds what the scripts of the cases 6 to 10 start beside the daemon: one stand-in program, without dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
cd review/stand2
go build -o ../../target/stand2 .
