#!/bin/sh
# Builds the stand-ins that the scripts of the cases start, with the compiler alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/standins/*.rs; do
  name=$(basename "$source" .rs)
  [ "$name" = common ] && continue
  rustc --edition 2024 -C opt-level=2 -o "target/review/$name" "$source"
done
