//! Claims in the key-value service for requests that may run only once.

use super::Traffic;
use super::refusals::fault;
use reedford_core::claims::{
    ClaimDecision, ClaimRecord, ClaimState, RecordedResponse, decide_claim,
};
use reedford_front::{CallOptions, Refused, RefusedCode};
use reedford_store::{Entry, Expect, KeyValue as _, KvError, Put, Swapped, Transaction};
use std::sync::Arc;
use std::time::Duration;

/// Where claims are kept.
const CLAIMS_PREFIX: &str = "reedford/claims/";
/// Tries to settle a claim in the background.
const SETTLE_TRIES: u32 = 5;
/// Pause before the first further try; doubles each time.
const SETTLE_PAUSE: Duration = Duration::from_millis(200);
/// Reads and writes until a claim is decided.
const DECIDE_TRIES: u32 = 4;
/// Largest answer that is recorded, in bytes.
const RECORD_MOST: usize = 512 * 1024;

/// A claim that this attempt holds: the request may be sent.
#[derive(Debug)]
pub(super) struct Claim {
    traffic: Arc<Traffic>,
    key: String,
    record: ClaimRecord,
    revision: i64,
}

/// What became of an attempt to claim a key.
#[derive(Debug)]
pub(super) enum Claimed {
    /// The request may be sent.
    Held(Claim),
    /// The request ran before; this was its answer.
    Replay(RecordedResponse),
}

/// Claims a key.
///
/// The claim is held only when the store has said so, by its answer to the
/// write or by a read that shows this attempt's token. A write that lands
/// after a refusal leaves a record whose token nobody acts for.
///
/// # Errors
/// The refusal for the caller.
pub(super) async fn claim(
    traffic: &Arc<Traffic>,
    options: &CallOptions,
    digest: &[u8; 32],
) -> Result<Claimed, Refused> {
    let token: Box<str> = traffic.next_id().to_string().into();
    let digest: Box<str> = hex(digest).into();
    let path = claim_path(options)?;
    let mut current = read(traffic, &path).await?;
    for _ in 0..DECIDE_TRIES {
        let record = record_of(current.as_ref())?;
        let revision = current.as_ref().map_or(0, |entry| entry.revision);
        match decide_claim(record.as_ref(), &token, &digest) {
            ClaimDecision::Dispatch => {
                let record = started(&token, &digest);
                let traffic = Arc::clone(traffic);
                return Ok(Claimed::Held(Claim {
                    traffic,
                    key: path,
                    record,
                    revision,
                }));
            }
            ClaimDecision::Replay(answer) => return Ok(Claimed::Replay(answer)),
            ClaimDecision::InProgress => return Err(in_progress()),
            ClaimDecision::KeyReused => return Err(key_reused()),
            ClaimDecision::Create | ClaimDecision::TakeOver => {}
        }
        let record = started(&token, &digest);
        current = match write(traffic, &path, revision, &record).await {
            Ok(Swapped::Done { revision }) => {
                let traffic = Arc::clone(traffic);
                return Ok(Claimed::Held(Claim {
                    traffic,
                    key: path,
                    record,
                    revision,
                }));
            }
            Ok(Swapped::Lost { current }) => current,
            Err(KvError::Unknown { .. }) => read(traffic, &path).await?,
            Err(KvError::NotSent { .. } | KvError::Rejected { .. }) => return Err(unavailable()),
        };
    }
    Err(unavailable())
}

impl Claim {
    /// Records the answer, before the caller gets it.
    ///
    /// When that fails, the record stays as it is: a caller that asks again
    /// is told that the outcome is unknown, and nothing runs twice.
    pub(super) async fn done(mut self, answer: RecordedResponse) {
        if answer.body.len() > RECORD_MOST {
            tracing::warn!(event = "answer_not_recorded", bytes = answer.body.len());
            return;
        }
        self.record.state = ClaimState::Done(answer);
        if !self.settle_once().await {
            self.settle_later();
        }
    }

    /// Records that the request did not run and that this attempt never will.
    pub(super) async fn abort(mut self) {
        self.record.state = ClaimState::Aborted;
        if !self.settle_once().await {
            self.settle_later();
        }
    }

    async fn settle_once(&mut self) -> bool {
        let written = write(&self.traffic, &self.key, self.revision, &self.record).await;
        match written {
            Ok(Swapped::Done { revision }) => {
                self.revision = revision;
                true
            }
            // Ours is the only token that changes a started record, so a lost
            // swap is an earlier write of the same state whose answer was lost.
            Ok(Swapped::Lost { .. }) => true,
            Err(_) => false,
        }
    }

    fn settle_later(mut self) {
        let tasks = self.traffic.tasks.clone();
        tasks.spawn(async move {
            let mut pause = SETTLE_PAUSE;
            for _ in 0..SETTLE_TRIES {
                tokio::time::sleep(pause).await;
                if self.settle_once().await {
                    return;
                }
                pause *= 2;
            }
            tracing::warn!(event = "claim_not_settled", key = %self.key);
        });
    }
}

/// Where the claim for a caller's key is kept. The length keeps the names of
/// two tenants apart whatever characters they hold.
fn claim_path(options: &CallOptions) -> Result<String, Refused> {
    let key = options.idempotency_key.as_deref();
    let key = key.ok_or_else(|| fault(RefusedCode::Internal, "the key went missing"))?;
    let tenant = options.tenant.as_deref().unwrap_or_default();
    Ok(format!("{CLAIMS_PREFIX}{}-{tenant}/{key}", tenant.len()))
}

async fn read(traffic: &Traffic, key: &str) -> Result<Option<Entry>, Refused> {
    traffic.metrics.platform_call("claim_read");
    traffic.clients.kv.get(key).await.map_err(|error| {
        tracing::warn!(event = "claim_read_failed", %error);
        unavailable()
    })
}

async fn write(
    traffic: &Traffic,
    key: &str,
    revision: i64,
    record: &ClaimRecord,
) -> Result<Swapped, KvError> {
    traffic.metrics.platform_call("claim_write");
    let value = serde_json::to_vec(record).map_err(|e| KvError::NotSent {
        message: e.to_string().into(),
    })?;
    let lease = traffic.claim_lease();
    let lease = lease.ok_or_else(|| KvError::NotSent {
        message: "no lease for claims".into(),
    })?;
    let put = Put {
        key: key.into(),
        value,
        lease: Some(lease),
    };
    let txn = Transaction {
        expect: vec![Expect {
            key: key.into(),
            revision,
        }],
        puts: vec![put],
        deletes: Vec::new(),
    };
    traffic.clients.kv.txn(txn).await
}

fn record_of(entry: Option<&Entry>) -> Result<Option<ClaimRecord>, Refused> {
    let Some(entry) = entry else {
        return Ok(None);
    };
    serde_json::from_slice(&entry.value)
        .map(Some)
        .map_err(|error| {
            tracing::error!(event = "claim_unreadable", key = %entry.key, %error);
            in_progress()
        })
}

fn started(token: &str, digest: &str) -> ClaimRecord {
    ClaimRecord {
        token: token.into(),
        digest: digest.into(),
        state: ClaimState::Started,
    }
}

fn unavailable() -> Refused {
    let message = "the platform's service, which requests that may not be repeated need, is down";
    fault(RefusedCode::PlatformUnavailable, message)
}

fn in_progress() -> Refused {
    let message = "a request with this key was started before; whether it ran is not known here";
    Refused::unknown(RefusedCode::InProgressElsewhere, message)
}

fn key_reused() -> Refused {
    Refused::bad_request(
        RefusedCode::KeyReused,
        "the key was used for another request",
    )
}

fn hex(digest: &[u8; 32]) -> String {
    use std::fmt::Write as _;
    let mut text = String::with_capacity(64);
    for byte in digest {
        // Writing to a string can't fail.
        let _infallible = write!(text, "{byte:02x}");
    }
    text
}
