#!/usr/bin/env bash
# Starts a worked deployment as separate processes on loopback, waits until all
# entry instances know all engines, runs a command, and stops everything again:
#
#   cargo build --release --workspace
#   scripts/site.sh examples/waschformel bash
#
# BIN names the directory of the programs, target/release when not set; RULES
# another rules file than the deployment's; LOGS a directory for the logs, else
# they go with the temporary files.
set -euo pipefail
cd "$(dirname "$0")/.."

if [ $# -lt 2 ]; then
  echo "usage: scripts/site.sh DEPLOYMENT COMMAND..." >&2
  exit 2
fi
site=$1
shift
bin=${BIN:-target/release}
for program in reedford reedford-platform-standin reedford-engine-standin reedford-plain-standin; do
  if [ ! -x "$bin/$program" ]; then
    echo "$bin/$program is missing; build with: cargo build --release --workspace" >&2
    exit 1
  fi
done
work=$(mktemp -d)
logs=${LOGS:-$work}
mkdir -p "$logs"
pids=()
entries=()

# Signals the processes to stop and waits for them, at most 10 s for each signal.
end() {
  for signal in TERM KILL; do
    for pid in "$@"; do kill "-$signal" "$pid" 2>/dev/null || true; done
    for _ in $(seq 100); do
      alive=0
      for pid in "$@"; do kill -0 "$pid" 2>/dev/null && alive=1; done
      [ "$alive" = 0 ] && return
      sleep 0.1
    done
  done
}

# The entry instances stop first: they need the others to finish their requests.
stop() {
  end "${entries[@]}"
  end "${pids[@]}"
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
  entries+=("$!")
done
engines=$(grep -c 'kind: engine' "$site/platform.yaml")
for settings in "$site"/entry-*.yaml; do
  name=$(basename "$settings" .yaml)
  callers=$(sed -nE 's/^callers: (.*)/\1/p' "$settings")
  known=0
  for _ in $(seq 300); do
    known=$(curl -fs "http://$callers/metrics" 2>/dev/null | sed -nE 's/^reedford_workers_known ([0-9]+)$/\1/p') || true
    [ "${known:-0}" = "$engines" ] && break
    sleep 0.1
  done
  if [ "${known:-0}" != "$engines" ]; then
    echo "$name knows ${known:-0} of $engines engines; the end of its log:" >&2
    tail -n 5 "$logs/$name.log" >&2
    exit 1
  fi
done
export REEDFORD_PIDS="${pids[*]}"
"$@"
