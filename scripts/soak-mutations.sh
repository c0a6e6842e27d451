#!/usr/bin/env bash
# Shows that the fault soak catches faults of the product: each fault below is
# put into a copy of the sources, and the soak has to fail on it.
#
#   scripts/soak-mutations.sh [SEEDS] [NAME...]     SEEDS as in SOAK_SEEDS, 1-4 when not given
set -euo pipefail
cd "$(dirname "$0")/.."

seeds=${1:-1-4}
shift || true
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT

# NAME|FILE|perl substitution
faults=(
  'once_only_calls_are_repeated|crates/gateway/src/call.rs|s/&& self\.route\.kind\.retryable\(\) && runs < self\.route\.attempts/\&\& runs < 2/'
  'a_lost_call_is_told_as_not_run|crates/gateway/src/reply.rs|s/Self::BadGateway => StatusCode::BAD_GATEWAY/Self::BadGateway => StatusCode::SERVICE_UNAVAILABLE/'
  'answers_of_other_calls_pass|crates/fleet/src/attribution.rs|s/if id != self\.call => Attribution::Other/if id != self.call => Attribution::This/'
  'rejections_without_an_id_are_believed|crates/fleet/src/attribution.rs|s/None => Attribution::Unknown,/None => Attribution::This,/'
  'a_rejected_call_reuses_its_connection|crates/targets/src/failed_calls.rs|s/(fn contains.*?\n) +self\.0\.contains\(&call\)/$1        self.0.contains(\&call) \&\& false/'
  'only_the_last_failed_call_is_kept|crates/targets/src/failed_calls.rs|s/self\.0\.push\(call\);/self.0 = vec![call];/'
  'calls_that_may_have_run_are_run_again|crates/fleet/src/recent_calls.rs|s/Self::UnderWay \| Self::MayHaveRun => true,\n( *)Self::NeverRan/Self::UnderWay => true,\n$1Self::MayHaveRun | Self::NeverRan/'
  'calls_under_way_are_run_again|crates/fleet/src/recent_calls.rs|s/Self::UnderWay \| Self::MayHaveRun => true,\n( *)Self::NeverRan/Self::MayHaveRun => true,\n$1Self::UnderWay | Self::NeverRan/'
  'each_call_ends_as_not_run|crates/gateway/src/handler/replacement.rs|s/receipt\.end\(self\.sendings\.may_have_run\(\) > 0\)/receipt.end(false)/'
  'failures_of_workers_promise|crates/fleet/src/not_run.rs|s/if promises_not_run\(status\) && !repeatable/if promises_not_run(status) \&\& !repeatable \&\& false/'
  'contradictions_are_believed|crates/fleet/src/not_run.rs|s/Some\(rejection\) if can_reject\(status\) =>/Some(rejection) if can_reject(status) || true =>/'
  'a_cut_stream_ends_cleanly|crates/gateway/src/relay.rs|s/return Some\(\(Err\(Truncated\(why\)\), self\)\);/return None;/'
  'a_resumed_stream_begins_anew|crates/gateway/src/relay.rs|s/let last = self\.order\.last\(\);/let last: Option<\&str> = None;/'
  'a_lost_call_counts_as_not_sent|crates/gateway/src/sender.rs|s/SendOutcome::Lost\(why\)/SendOutcome::NotRun(sent.returned())/'
  'calls_that_crash_instances_are_sent|crates/gateway/src/quarantine.rs|s/let verdict = self\.lock\(\)\.quarantine\.verdict\(&suspect, now\)\?;/let verdict = self.lock().quarantine.verdict(\&suspect, now).filter(|_| false)?;/'
  'crashes_behind_a_proxy_are_missed|crates/gateway/src/sync/instances.rs|s/self\.sync\.shared\.on_directory_change\(change\);/_ = change;/'
  'a_vacant_role_is_not_claimed|crates/fleet/src/ownership.rs|s/if now < since \+ wait \+ handicap \|\| now < self\.next_claim/if now < since + wait || self.next_claim > Now::ZERO/'
  'keys_are_passed_on|platform/src/headers.rs|s/headers\.remove\(AUTHORIZATION\);//g'
  'unknown_keys_are_accepted|crates/gateway/src/caller.rs|s/Access::Denied => return None,/Access::Denied => return Some(Self::Public),/'
  'limits_are_not_kept|crates/fleet/src/quota/zone.rs|s/Err\(wait\) => ChargeOutcome::Short \{ wait \},/Err(_wait) => ChargeOutcome::Charged,/'
  'any_success_goes_on_with_a_stream|crates/gateway/src/relay.rs|s/SendOutcome::Response\(response\) if self\.continues\(&response\)/SendOutcome::Response(response) if response.incoming.status.is_success()/g; s/if source\.events == 0 \{\n/if false {\n/'
  'a_continuation_without_events_ends_a_stream|crates/gateway/src/relay.rs|s/if source\.events == 0 && !may_be_over/if source.events == 0 \&\& !may_be_over \&\& false/'
  'late_calls_are_sent|crates/gateway/src/stop.rs|s/times\.is_some_and\(\|times\| !times\.accepts\(now\)\)/times.is_some_and(|times| !times.accepts(now)) \&\& false/; s/sleep_until\(self\.clock\.instant\(last\)\)\.await/sleep_until(self.clock.instant(last + std::time::Duration::from_secs(60))).await/'
  'tests_of_links_start_each_other|crates/fleet/src/links.rs|s/\(links <= 1 && !was_broken\)/(links <= 1)/; s/if is_recent\(self\.others_tested_at, TEST_INTERVAL, now\)/if false/; s/!link\.is_broken\(now\) && link\.is_due\(now\)\)/true)/'
  'a_stop_waits_for_nothing_and_hangs|crates/gateway/src/daemon.rs|s/self\.caller_shutdown\.graceful\.cancel\(\);/self.caller_shutdown.graceful.is_cancelled();/'
)

tar --exclude=./target --exclude=./journal --exclude=./.git -cf - . | tar xf - -C "$copy"
export CARGO_TARGET_DIR=${CARGO_TARGET_DIR:-$PWD/target/mutations}
missed=0
for fault in "${faults[@]}"; do
  IFS='|' read -r name file change <<<"$fault"
  if [ $# -gt 0 ] && [[ " $* " != *" $name "* ]]; then continue; fi
  cp "$copy/$file" "$copy/original"
  perl -0pi -e "$change" "$copy/$file"
  if cmp -s "$copy/original" "$copy/$file"; then
    echo "$name: not applied" && missed=1 && continue
  fi
  (cd "$copy" && cargo build -q --bin reedford)
  if out=$(cd "$copy" && SOAK_SEEDS=$seeds cargo test -q -p reedford-platform --test soak 2>&1); then
    echo "$name: NOT caught with seeds $seeds" && missed=1
  else
    echo "$name: caught: $(grep -oE 'seed [0-9]+: (ran|told|a worker.s failure told|an answer|unexpected|assertion|the key|the limit|[0-9]+ later attempts).{0,70}|does not (serve again|stop)|[0-9]+ connections for [0-9]+ requests' <<<"$out" | head -1)"
  fi
  cp "$copy/original" "$copy/$file"
done
exit $missed
