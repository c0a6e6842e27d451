#!/usr/bin/env bash
# Prints the resources that the entry instances of a deployment use. Run it with
# site.sh:
#
#   scripts/site.sh DIR scripts/watch-entries.sh DIR SECONDS [COMMAND...]
#
# It waits until the start is over, then measures for SECONDS, or while COMMAND
# runs. It prints one line for each instance and one with the means: processor
# time of the control thread and of all others in microseconds a second, resident
# memory, calls to the platform and to peers a second, and bytes that came in
# from peers a second, acknowledgements of TCP and headers not counted.
set -euo pipefail

dir=${1:?deployment directory}
seconds=${2:?seconds}
shift 2
settle=15
cpu() { # process, pattern of thread names
  local sum=0 comm ns rest
  for task in /proc/"$1"/task/*; do
    comm=$(<"$task/comm")
    [[ $comm == $2 ]] || continue
    read -r ns rest <"$task/schedstat"
    sum=$((sum + ns / 1000))
  done
  echo "$sum"
}
calls() { # port of callers, name of the counter
  curl -fs "http://127.0.0.1:$1/metrics" |
    awk -v name="$2" 'index($0, name "{") == 1 { n += $2 } END { print n + 0 }'
}
field() { sed -nE "s/^$2: .*:([0-9]+)$/\1/p" "$1"; }
bytes() { # port of peers
  ss -tinH "sport = :$1" | grep -oE 'bytes_received:[0-9]+' | awk -F: '{ n += $2 } END { print n + 0 }'
}
pid_of() { # settings
  for pid in $REEDFORD_PIDS; do
    tr '\0' ' ' <"/proc/$pid/cmdline" | grep -q -- "$1" && echo "$pid" && return
  done
}
sample() {
  for settings in "$dir"/entry-*.yaml; do
    local pid callers
    pid=$(pid_of "$settings")
    callers=$(field "$settings" callers)
    echo "$(cpu "$pid" control) $(cpu "$pid" '*') $(awk '/^VmRSS/ { print $2 }' "/proc/$pid/status")" \
      "$(calls "$callers" reedford_platform_calls_total) $(calls "$callers" reedford_peer_calls_total)" \
      "$(bytes "$(field "$settings" peers)") $(date +%s.%N)"
  done
}
sleep "$settle"
before=$(sample)
if [ $# -gt 0 ]; then "$@"; else sleep "$seconds"; fi
after=$(sample)
paste -d' ' <(echo "$before") <(echo "$after") | awk '
  BEGIN { print "control_us_s other_us_s rss_kB platform_calls_s peer_calls_s peer_bytes_in_s" }
  { t = $14 - $7; c = ($8 - $1) / t; o = ($9 - $2) / t - c
    p = ($11 - $4) / t; q = ($12 - $5) / t; b = ($13 - $6) / t
    printf "%.0f %.0f %d %.2f %.2f %.0f\n", c, o, $10, p, q, b
    C += c; O += o; R += $10; P += p; Q += q; B += b; T += t }
  END { printf "mean of %d over %.1f s: %.0f %.0f %.0f %.2f %.2f %.0f\n", NR, T / NR, C / NR, O / NR, R / NR, P / NR, Q / NR, B / NR }'
