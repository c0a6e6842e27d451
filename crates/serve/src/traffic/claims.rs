//! Claims of idempotency keys in the key-value service, for requests that are
//! not repeatable.

use super::Traffic;
use super::refusals::fault_refusal;
use reedford_core::claims::{
    ClaimDecision, ClaimRecord, ClaimState, RecordedResponse, decide_claim,
};
use reedford_front::{CallOptions, CallRefusal, RefusalCode};
use reedford_store::{
    Entry, KeyValue as _, KvError, Precondition, Put, Transaction, TransactionOutcome,
};
use std::sync::Arc;
use std::time::Duration;

/// Prefix of the store keys that hold claims.
const CLAIMS_PREFIX: &str = "reedford/claims/";
/// Largest number of attempts to record the outcome of a claim in the
/// background.
const MAX_RECORD_ATTEMPTS: u32 = 5;
/// Delay before the first background attempt; doubles with each further one.
const RECORD_BACKOFF: Duration = Duration::from_millis(200);
/// Rounds of reading and writing a claim before the request is refused.
const CLAIM_ATTEMPTS: u32 = 4;
/// Largest response that is recorded, in bytes.
const MAX_RECORDED_BYTES: usize = 512 * 1024;

/// A claim that is held, which allows its claimant to send the request.
#[derive(Debug)]
pub(super) struct Claim {
    traffic: Arc<Traffic>,
    key: String,
    record: ClaimRecord,
    revision: i64,
}

/// Result of claiming a key.
#[derive(Debug)]
pub(super) enum ClaimOutcome {
    /// The request may be sent.
    Held(Claim),
    /// The request ran before with this response.
    Replay(RecordedResponse),
}

/// Claims a key.
///
/// The claim is held only after the store has confirmed it, by its response to
/// the write or by a read that returns this claimant's token. A write that
/// takes effect after the request was refused leaves a record with a token that
/// no claimant uses.
///
/// # Errors
/// Returns the refusal for the caller.
pub(super) async fn claim(
    traffic: &Arc<Traffic>,
    options: &CallOptions,
    digest: &[u8; 32],
) -> Result<ClaimOutcome, CallRefusal> {
    let token: Box<str> = traffic.next_id().to_string().into();
    let digest: Box<str> = hex(digest).into();
    let key = claim_key(options)?;
    let mut current = read_claim(traffic, &key).await?;
    for _ in 0..CLAIM_ATTEMPTS {
        let record = parse_record(current.as_ref())?;
        let revision = current.as_ref().map_or(0, |entry| entry.revision);
        match decide_claim(record.as_ref(), &token, &digest) {
            ClaimDecision::Dispatch => {
                let record = started_record(&token, &digest);
                let traffic = Arc::clone(traffic);
                return Ok(ClaimOutcome::Held(Claim {
                    traffic,
                    key,
                    record,
                    revision,
                }));
            }
            ClaimDecision::Replay(response) => return Ok(ClaimOutcome::Replay(response)),
            ClaimDecision::InProgress => return Err(in_progress()),
            ClaimDecision::KeyReused => return Err(key_reused()),
            ClaimDecision::Create | ClaimDecision::TakeOver => {}
        }
        let record = started_record(&token, &digest);
        current = match write_claim(traffic, &key, revision, &record).await {
            Ok(TransactionOutcome::Committed { revision, .. }) => {
                let traffic = Arc::clone(traffic);
                return Ok(ClaimOutcome::Held(Claim {
                    traffic,
                    key,
                    record,
                    revision,
                }));
            }
            Ok(TransactionOutcome::Conflict { current, .. }) => current,
            Err(KvError::Unknown { .. }) => read_claim(traffic, &key).await?,
            Err(KvError::NotSent { .. } | KvError::Rejected { .. }) => {
                return Err(platform_unavailable());
            }
        };
    }
    Err(platform_unavailable())
}

impl Claim {
    /// Records the response. The caller gets the response, or the end marker of
    /// a streamed one, only after this.
    ///
    /// If that fails, the record stays in its started state. A caller that
    /// retries with the key is told that the outcome is unknown, and the request
    /// does not run twice.
    pub(super) async fn complete(mut self, response: RecordedResponse) {
        if response.body.len() > MAX_RECORDED_BYTES {
            tracing::warn!(event = "answer_not_recorded", bytes = response.body.len());
            return;
        }
        self.record.state = ClaimState::Done(response);
        if !self.try_record().await {
            self.record_in_background();
        }
    }

    /// Records that the request did not run and that this claimant won't send
    /// it.
    pub(super) async fn abort(mut self) {
        self.record.state = ClaimState::Aborted;
        if !self.try_record().await {
            self.record_in_background();
        }
    }

    async fn try_record(&mut self) -> bool {
        let written = write_claim(&self.traffic, &self.key, self.revision, &self.record).await;
        match written {
            Ok(TransactionOutcome::Committed { revision, .. }) => {
                self.revision = revision;
                true
            }
            // Only the holder of a started record's token changes it. A failed
            // swap thus means that an earlier write of the same state succeeded
            // and its response was lost.
            Ok(TransactionOutcome::Conflict { .. }) => true,
            Err(_) => false,
        }
    }

    fn record_in_background(mut self) {
        let tasks = self.traffic.tasks.clone();
        tasks.spawn(async move {
            let mut delay = RECORD_BACKOFF;
            for _ in 0..MAX_RECORD_ATTEMPTS {
                tokio::time::sleep(delay).await;
                if self.try_record().await {
                    return;
                }
                delay *= 2;
            }
            tracing::warn!(event = "claim_not_settled", key = %self.key);
        });
    }
}

/// Returns the store key of a claim. The length of the tenant's name keeps the
/// keys of different tenants distinct, whatever characters they contain.
fn claim_key(options: &CallOptions) -> Result<String, CallRefusal> {
    let key = options.idempotency_key.as_deref();
    let key = key.ok_or_else(|| fault_refusal(RefusalCode::Internal, "the key went missing"))?;
    let tenant = options.tenant.as_deref().unwrap_or_default();
    Ok(format!("{CLAIMS_PREFIX}{}-{tenant}/{key}", tenant.len()))
}

async fn read_claim(traffic: &Traffic, key: &str) -> Result<Option<Entry>, CallRefusal> {
    traffic.metrics.record_platform_call("claim_read");
    traffic.clients.kv.get(key).await.map_err(|error| {
        tracing::warn!(event = "claim_read_failed", %error);
        platform_unavailable()
    })
}

async fn write_claim(
    traffic: &Traffic,
    key: &str,
    revision: i64,
    record: &ClaimRecord,
) -> Result<TransactionOutcome, KvError> {
    traffic.metrics.record_platform_call("claim_write");
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
        preconditions: vec![Precondition {
            key: key.into(),
            revision,
        }],
        puts: vec![put],
        deletes: Vec::new(),
    };
    traffic.clients.kv.txn(txn).await
}

fn parse_record(entry: Option<&Entry>) -> Result<Option<ClaimRecord>, CallRefusal> {
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

fn started_record(token: &str, digest: &str) -> ClaimRecord {
    ClaimRecord {
        token: token.into(),
        digest: digest.into(),
        state: ClaimState::Started,
    }
}

fn platform_unavailable() -> CallRefusal {
    let message = "the platform's service, which requests that may not be repeated need, is down";
    fault_refusal(RefusalCode::PlatformUnavailable, message)
}

fn in_progress() -> CallRefusal {
    let message = "a request with this key was started before; whether it ran is not known here";
    CallRefusal::unknown(RefusalCode::InProgressElsewhere, message)
}

fn key_reused() -> CallRefusal {
    CallRefusal::bad_request(
        RefusalCode::KeyReused,
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
