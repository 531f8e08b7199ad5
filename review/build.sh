#!/usr/bin/env bash
# Builds the stand-ins of the cases. They use the standard library only, so no network is needed.
set -eu
cd "$(dirname "$0")/stand-ins"
cargo build --release --offline
