#!/usr/bin/env bash
# Builds every stand-in that the scripts of the second review start. The standard library is all that they need.
set -euo pipefail
cd "$(dirname "$0")/stand-ins-2"
cargo build --release --locked --offline
