#!/usr/bin/env bash
# Starts a worked deployment as separate processes on loopback, runs a command
# against it, and stops everything again:
#
#   scripts/site.sh examples/waschformel target/release/reedford-load run --experiment examples/waschformel/load.yaml
#
# RULES names another rules file than the deployment's; LOGS names a directory
# for the logs, else they go with the temporary files.
set -euo pipefail
cd "$(dirname "$0")/.."

site=${1:?deployment directory}
shift
bin=${BIN:-target/release}
work=$(mktemp -d)
logs=${LOGS:-$work}
mkdir -p "$logs"
pids=()

stop() {
  for signal in TERM KILL; do
    for pid in "${pids[@]}"; do kill "-$signal" "$pid" 2>/dev/null || true; done
    for _ in $(seq 100); do
      alive=0
      for pid in "${pids[@]}"; do kill -0 "$pid" 2>/dev/null && alive=1; done
      [ "$alive" = 0 ] && break
      sleep 0.1
    done
  done
  rm -rf "$work"
}
trap stop EXIT

start() {
  local name=$1
  shift
  "$@" >"$logs/$name.log" 2>&1 &
  pids+=("$!")
}

field() { sed -nE "s/.*[{ ]$2: '?([^',}]*)'?.*/\1/p" <<<"$1"; }

control=$(sed -nE 's/^control: (.*)/\1/p' "$site/platform.yaml")
start platform "$bin/reedford-platform-standin" --config "$site/platform.yaml"
for _ in $(seq 100); do
  (exec 3<>"/dev/tcp/${control%:*}/${control#*:}") 2>/dev/null && break
  sleep 0.05
done

seed=0
while read -r line; do
  id=$(field "$line" id)
  kind=$(field "$line" kind)
  seed=$((seed + 1))
  case $kind in engine | plain) ;; *) continue ;; esac
  {
    echo "id: $id"
    echo "group: $(field "$line" group)"
    echo "zone: $(field "$line" zone)"
    echo "listen: $(field "$line" address)"
    if [ "$kind" = engine ]; then
      echo "weights: $control"
      echo "base: base"
      echo "checks_fence: $(field "$line" checks_fence)"
      echo "seed: $seed"
    fi
  } >"$work/$id.yaml"
  start "$id" "$bin/reedford-$kind-standin" --config "$work/$id.yaml"
done < <(grep -E '^ *- \{id:' "$site/platform.yaml")

"$bin/reedford" rules apply "${RULES:-$site/rules.txt}" --platform "$control" --from 0
for settings in "$site"/entry-*.yaml; do
  start "$(basename "$settings" .yaml)" "$bin/reedford" serve --config "$settings"
done
for settings in "$site"/entry-*.yaml; do
  callers=$(sed -nE 's/^callers: (.*)/\1/p' "$settings")
  for _ in $(seq 200); do
    curl -fs "http://$callers/readyz" >/dev/null 2>&1 && break
    sleep 0.05
  done
done
export REEDFORD_PIDS="${pids[*]}"
"$@"
