#!/usr/bin/env bash
# Builds the stand-in that the scripts of the review start. The program of the project is built by the line of
# deploy/system.toml.
set -euo pipefail
root="$(cd "$(dirname "$0")/.." && pwd)"
cd "$root/review/standin"
go build -o "$root/target/review/standin" .
