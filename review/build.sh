#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start.
set -euo pipefail
cd "$(dirname "$0")/standin"
mkdir -p ../bin
go build -o ../bin/reviewstand .
