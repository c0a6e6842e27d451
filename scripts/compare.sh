#!/usr/bin/env bash
# Runs a short load at each worked deployment, once under the baseline rules
# (least recently used, first come first served, random placement, no
# admission) and once under the deployment's own, and prints them side by side.
#
#   scripts/compare.sh [seconds of load, default 12]
set -euo pipefail
cd "$(dirname "$0")/.."

seconds=${1:-12}
bin=${BIN:-target/release}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

for name in waschformel tienvarsi; do
  site=examples/$name
  sed -E 's/eviction=frequency load-ordering=value placement=home admission=on/eviction=lru load-ordering=fifo placement=random admission=off/' \
    "$site/rules.txt" >"$work/baseline.txt"
  for rules in baseline own; do
    file=$site/rules.txt
    [ "$rules" = own ] || file=$work/baseline.txt
    RULES=$file scripts/site.sh "$site" "$bin/reedford-load" run \
      --experiment "$site/load.yaml" --duration "$seconds" --warmup 5 \
      --json "$work/$name-$rules.json" >"$work/out" || { cat "$work/out"; exit 1; }
  done
  "$bin/reedford-load" compare "$work/$name-baseline.json" "$work/$name-own.json"
done
