//! Steps of one attempt, of its store writes and of its request at the target.

use super::{
    Action, Attempt, CallerOutcome, Claim, Mutation, Phase, Progress, RequestDelivery, State, Write,
};

type Steps = Vec<(Action, State)>;

/// Returns the enabled steps of attempt `i`.
pub(super) fn steps(s: &State, mutation: Option<Mutation>, i: usize) -> Steps {
    let mut steps = Steps::new();
    store_steps(s, mutation, i, &mut steps);
    claim_steps(s, mutation, i, &mut steps);
    dispatch_steps(s, mutation, i, &mut steps);
    target_steps(s, i, &mut steps);
    outcome_steps(s, mutation, i, &mut steps);
    steps
}

fn with_attempt<FC>(s: &State, i: usize, change: FC) -> State
where
    FC: FnOnce(&mut Attempt),
{
    let mut next = *s;
    change(&mut next.attempts[i]);
    next
}

/// Applies the pending write at the store.
fn store_steps(s: &State, mutation: Option<Mutation>, i: usize, steps: &mut Steps) {
    let Some(write) = s.attempts[i].write else {
        return;
    };
    let mut next = with_attempt(s, i, |a| a.write = None);
    let new_claim = Claim {
        token: i,
        body: s.attempts[i].body,
        progress: Progress::Started,
    };
    let own_started_claim = s
        .claim
        .filter(|c| c.token == i && c.progress == Progress::Started);
    match write {
        Write::Create => {
            let absent = s.claim.is_none();
            next.attempts[i].landed = Some(absent);
            if absent {
                next.claim = Some(new_claim);
            }
        }
        Write::TakeOver { token } => {
            let matches = s
                .claim
                .is_some_and(|c| c.token == token && c.progress == Progress::Aborted);
            let skips_compare = mutation == Some(Mutation::TakeoverWithoutCompare);
            next.attempts[i].landed = Some(matches || skips_compare);
            if matches || skips_compare {
                next.claim = Some(new_claim);
            }
        }
        Write::Abort => set_own_progress(&mut next, own_started_claim, Progress::Aborted),
        Write::Complete => set_own_progress(&mut next, own_started_claim, Progress::Done),
    }
    steps.push((Action::WriteLands, next));
}

/// Writes `progress` to the attempt's own claim, if that is still started.
fn set_own_progress(next: &mut State, own_started_claim: Option<Claim>, progress: Progress) {
    if let Some(claim) = own_started_claim {
        next.claim = Some(Claim { progress, ..claim });
    }
}

/// Adds the steps up to the confirmed claim.
fn claim_steps(s: &State, mutation: Option<Mutation>, i: usize, steps: &mut Steps) {
    match s.attempts[i].phase {
        Phase::New => {
            let next = with_attempt(s, i, |a| {
                a.phase = Phase::Claiming;
                a.write = Some(Write::Create);
            });
            steps.push((Action::SendCreate, next));
        }
        Phase::Claiming => {
            if let Some(created) = s.attempts[i].landed {
                let phase = if created {
                    Phase::Claimed
                } else {
                    Phase::Existing
                };
                steps.push((
                    Action::StoreAnswers,
                    with_attempt(s, i, |a| a.phase = phase),
                ));
            }
            steps.push((
                Action::ReadBack,
                with_attempt(s, i, |a| a.phase = read_back(s, mutation, i)),
            ));
            if mutation == Some(Mutation::DispatchUnconfirmed) {
                steps.push((
                    Action::AnswerLost,
                    with_attempt(s, i, |a| a.phase = Phase::Claimed),
                ));
            }
        }
        Phase::Existing => existing_claim_steps(s, mutation, i, steps),
        _ => {}
    }
}

/// Returns the phase after reading the claim without a response to the write.
/// Finding no claim doesn't prove that the write failed. The attempt therefore
/// reports not run and never dispatches, even if the write takes effect later.
fn read_back(s: &State, mutation: Option<Mutation>, i: usize) -> Phase {
    match s.claim {
        None => Phase::Told(CallerOutcome::NotRun),
        Some(c) if c.token == i => Phase::Claimed,
        Some(c)
            if mutation == Some(Mutation::ReadBackWithoutToken) && c.body == s.attempts[i].body =>
        {
            Phase::Claimed
        }
        Some(_) => Phase::Existing,
    }
}

/// Adds the step that the attempt takes on an existing claim.
fn existing_claim_steps(s: &State, mutation: Option<Mutation>, i: usize, steps: &mut Steps) {
    let Some(claim) = s.claim else {
        steps.push((
            Action::TellNotRun,
            with_attempt(s, i, |a| a.phase = Phase::Told(CallerOutcome::NotRun)),
        ));
        return;
    };
    // The attempt's own takeover, whose response it didn't wait for, has taken
    // effect.
    if claim.token == i {
        steps.push((
            Action::ReadBack,
            with_attempt(s, i, |a| a.phase = Phase::Claimed),
        ));
        return;
    }
    let other_body = claim.body != s.attempts[i].body;
    if other_body && mutation != Some(Mutation::BodyNotCompared) {
        let next = with_attempt(s, i, |a| a.phase = Phase::Told(CallerOutcome::OtherBody));
        steps.push((Action::TellFromClaim, next));
        return;
    }
    match claim.progress {
        Progress::Done => {
            let next = with_attempt(s, i, |a| {
                a.phase = Phase::Told(CallerOutcome::Done);
                a.foreign_record = other_body;
            });
            steps.push((Action::TellFromClaim, next));
        }
        Progress::Started if mutation == Some(Mutation::TakeOverStarted) => {
            let mut next = with_attempt(s, i, |a| a.phase = Phase::Claimed);
            next.claim = Some(Claim {
                token: i,
                body: s.attempts[i].body,
                progress: Progress::Started,
            });
            steps.push((Action::SendTakeOver, next));
        }
        Progress::Started => {
            let next = with_attempt(s, i, |a| a.phase = Phase::Told(CallerOutcome::Unknown));
            steps.push((Action::TellFromClaim, next));
        }
        Progress::Aborted => {
            let next = with_attempt(s, i, |a| {
                a.phase = Phase::Claiming;
                a.landed = None;
                a.write = Some(Write::TakeOver { token: claim.token });
            });
            steps.push((Action::SendTakeOver, next));
        }
    }
}

/// Adds the steps from the confirmed claim to the dispatch.
fn dispatch_steps(s: &State, mutation: Option<Mutation>, i: usize, steps: &mut Steps) {
    let a = s.attempts[i];
    let sends_after_not_run = mutation == Some(Mutation::NotRunWhileQueued)
        && a.phase == Phase::Told(CallerOutcome::NotRun)
        && a.message == RequestDelivery::None;
    if a.phase == Phase::Claimed && !a.queued {
        steps.push((Action::AskPermit, with_attempt(s, i, |a| a.queued = true)));
    }
    if a.queued && sends_after_not_run {
        let next = with_attempt(s, i, |a| {
            a.queued = false;
            a.message = RequestDelivery::InFlight;
        });
        steps.push((Action::Dispatch, next));
    }
    if a.queued && a.phase == Phase::Claimed {
        let next = with_attempt(s, i, |a| {
            a.queued = false;
            a.phase = Phase::Granted;
        });
        steps.push((Action::Grant, next));
    }
    if a.phase == Phase::Granted {
        let next = with_attempt(s, i, |a| {
            a.phase = Phase::Sent;
            a.message = RequestDelivery::InFlight;
        });
        steps.push((Action::Dispatch, next));
    }
}

/// Adds the target's run or refusal of a request in flight.
fn target_steps(s: &State, i: usize, steps: &mut Steps) {
    if s.attempts[i].message != RequestDelivery::InFlight {
        return;
    }
    let mut next = with_attempt(s, i, |a| a.message = RequestDelivery::Ran);
    next.runs += 1;
    steps.push((Action::TargetRuns, next));
    steps.push((
        Action::TargetRefuses,
        with_attempt(s, i, |a| a.message = RequestDelivery::Refused),
    ));
}

/// Adds the steps that lead to a reported outcome, and the death of the entry
/// instance.
fn outcome_steps(s: &State, mutation: Option<Mutation>, i: usize, steps: &mut Steps) {
    let a = s.attempts[i];
    let with_outcome = |outcome| with_attempt(s, i, |a| a.phase = Phase::Told(outcome));
    match a.phase {
        Phase::Told(_) | Phase::Dead => return,
        Phase::Sent => response_steps(s, mutation, i, steps),
        Phase::Answered => steps.push((Action::TellDone, with_outcome(CallerOutcome::Done))),
        // The request was not sent, or the target refused it. From here on the
        // attempt never dispatches, whether or not its abort reaches the store.
        Phase::Claimed | Phase::Granted | Phase::Refused => {
            let next = with_attempt(s, i, |a| {
                a.phase = Phase::Told(CallerOutcome::NotRun);
                a.write = Some(Write::Abort);
            });
            steps.push((Action::SendAbort, next));
            steps.push((Action::TellNotRun, with_outcome(CallerOutcome::NotRun)));
        }
        Phase::New | Phase::Claiming | Phase::Existing => {}
    }
    steps.push((Action::Die, with_attempt(s, i, |a| a.phase = Phase::Dead)));
}

/// Adds the arrival and the loss of the target's response.
fn response_steps(s: &State, mutation: Option<Mutation>, i: usize, steps: &mut Steps) {
    let a = s.attempts[i];
    if a.message == RequestDelivery::Ran {
        let next = with_attempt(s, i, |a| {
            a.phase = Phase::Answered;
            a.write = Some(Write::Complete);
        });
        steps.push((Action::TargetAnswers, next));
    }
    if a.message == RequestDelivery::Refused {
        steps.push((
            Action::TargetAnswers,
            with_attempt(s, i, |a| a.phase = Phase::Refused),
        ));
    }
    let outcome = match mutation {
        Some(Mutation::NotRunAfterSend) => CallerOutcome::NotRun,
        _ => CallerOutcome::Unknown,
    };
    let next = with_attempt(s, i, |a| {
        a.phase = Phase::Told(outcome);
        if mutation == Some(Mutation::AbortAfterSend) {
            a.write = Some(Write::Abort);
        }
    });
    steps.push((Action::AnswerLost, next));
    if mutation == Some(Mutation::ResendAfterLostAnswer) && a.message == RequestDelivery::Ran {
        steps.push((
            Action::Resend,
            with_attempt(s, i, |a| a.message = RequestDelivery::InFlight),
        ));
    }
}
