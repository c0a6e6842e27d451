//! The steps of one attempt and of its messages.

use super::{Action, Attempt, Claim, Message, Mutation, Phase, Progress, State, Told, Write};

type Steps = Vec<(Action, State)>;

/// Every step of attempt `i`.
pub(super) fn steps(s: &State, mutation: Option<Mutation>, i: usize) -> Steps {
    let mut steps = Steps::new();
    store_steps(s, mutation, i, &mut steps);
    claim_steps(s, mutation, i, &mut steps);
    dispatch_steps(s, mutation, i, &mut steps);
    target_steps(s, i, &mut steps);
    end_steps(s, mutation, i, &mut steps);
    steps
}

fn with<FC>(s: &State, i: usize, change: FC) -> State
where
    FC: FnOnce(&mut Attempt),
{
    let mut t = *s;
    change(&mut t.attempts[i]);
    t
}

/// A write on its way lands.
fn store_steps(s: &State, mutation: Option<Mutation>, i: usize, steps: &mut Steps) {
    let Some(write) = s.attempts[i].write else {
        return;
    };
    let mut t = with(s, i, |a| a.write = None);
    let mine = Claim {
        token: i,
        body: s.attempts[i].body,
        progress: Progress::Started,
    };
    let own = s
        .claim
        .filter(|c| c.token == i && c.progress == Progress::Started);
    match write {
        Write::Create => {
            let absent = s.claim.is_none();
            t.attempts[i].landed = Some(absent);
            if absent {
                t.claim = Some(mine);
            }
        }
        Write::TakeOver { token } => {
            let matches = s
                .claim
                .is_some_and(|c| c.token == token && c.progress == Progress::Aborted);
            let forced = mutation == Some(Mutation::TakeoverWithoutCompare);
            t.attempts[i].landed = Some(matches || forced);
            if matches || forced {
                t.claim = Some(mine);
            }
        }
        Write::Abort => settle(&mut t, own, Progress::Aborted),
        Write::Complete => settle(&mut t, own, Progress::Done),
    }
    steps.push((Action::WriteLands, t));
}

fn settle(t: &mut State, own: Option<Claim>, progress: Progress) {
    if let Some(claim) = own {
        t.claim = Some(Claim { progress, ..claim });
    }
}

/// Up to the confirmed claim.
fn claim_steps(s: &State, mutation: Option<Mutation>, i: usize, steps: &mut Steps) {
    match s.attempts[i].phase {
        Phase::New => {
            let t = with(s, i, |a| {
                a.phase = Phase::Claiming;
                a.write = Some(Write::Create);
            });
            steps.push((Action::SendCreate, t));
        }
        Phase::Claiming => {
            if let Some(won) = s.attempts[i].landed {
                let phase = if won { Phase::Claimed } else { Phase::Existing };
                steps.push((Action::StoreAnswers, with(s, i, |a| a.phase = phase)));
            }
            steps.push((
                Action::ReadBack,
                with(s, i, |a| a.phase = read_back(s, mutation, i)),
            ));
            if mutation == Some(Mutation::DispatchUnconfirmed) {
                steps.push((Action::AnswerLost, with(s, i, |a| a.phase = Phase::Claimed)));
            }
        }
        Phase::Existing => existing_steps(s, mutation, i, steps),
        _ => {}
    }
}

/// What a read after a lost answer shows. Nothing found is not final, so the
/// attempt ends without a dispatch.
fn read_back(s: &State, mutation: Option<Mutation>, i: usize) -> Phase {
    match s.claim {
        None => Phase::Told(Told::NotRun),
        Some(c) if c.token == i => Phase::Claimed,
        Some(c)
            if mutation == Some(Mutation::ReadBackWithoutToken) && c.body == s.attempts[i].body =>
        {
            Phase::Claimed
        }
        Some(_) => Phase::Existing,
    }
}

/// Reads the claim of another attempt and acts on it.
fn existing_steps(s: &State, mutation: Option<Mutation>, i: usize, steps: &mut Steps) {
    let Some(claim) = s.claim else {
        steps.push((
            Action::TellNotRun,
            with(s, i, |a| a.phase = Phase::Told(Told::NotRun)),
        ));
        return;
    };
    // A takeover that was given up has landed after all.
    if claim.token == i {
        steps.push((Action::ReadBack, with(s, i, |a| a.phase = Phase::Claimed)));
        return;
    }
    let other_body = claim.body != s.attempts[i].body;
    if other_body && mutation != Some(Mutation::BodyNotCompared) {
        let t = with(s, i, |a| a.phase = Phase::Told(Told::OtherBody));
        steps.push((Action::TellFromClaim, t));
        return;
    }
    match claim.progress {
        Progress::Done => {
            let t = with(s, i, |a| {
                a.phase = Phase::Told(Told::Done);
                a.foreign_record = other_body;
            });
            steps.push((Action::TellFromClaim, t));
        }
        Progress::Started if mutation == Some(Mutation::TakeOverStarted) => {
            let mut t = with(s, i, |a| a.phase = Phase::Claimed);
            t.claim = Some(Claim {
                token: i,
                body: s.attempts[i].body,
                progress: Progress::Started,
            });
            steps.push((Action::SendTakeOver, t));
        }
        Progress::Started => {
            let t = with(s, i, |a| a.phase = Phase::Told(Told::Unknown));
            steps.push((Action::TellFromClaim, t));
        }
        Progress::Aborted => {
            let t = with(s, i, |a| {
                a.phase = Phase::Claiming;
                a.landed = None;
                a.write = Some(Write::TakeOver { token: claim.token });
            });
            steps.push((Action::SendTakeOver, t));
        }
    }
}

/// From the confirmed claim to the dispatch.
fn dispatch_steps(s: &State, mutation: Option<Mutation>, i: usize, steps: &mut Steps) {
    let a = s.attempts[i];
    let late = mutation == Some(Mutation::NotRunWhileQueued)
        && a.phase == Phase::Told(Told::NotRun)
        && a.message == Message::None;
    if a.phase == Phase::Claimed && !a.queued {
        steps.push((Action::AskPermit, with(s, i, |a| a.queued = true)));
    }
    if a.queued && late {
        let t = with(s, i, |a| {
            a.queued = false;
            a.message = Message::InFlight;
        });
        steps.push((Action::Dispatch, t));
    }
    if a.queued && a.phase == Phase::Claimed {
        let t = with(s, i, |a| {
            a.queued = false;
            a.phase = Phase::Granted;
        });
        steps.push((Action::Grant, t));
    }
    if a.phase == Phase::Granted {
        let t = with(s, i, |a| {
            a.phase = Phase::Sent;
            a.message = Message::InFlight;
        });
        steps.push((Action::Dispatch, t));
    }
}

/// What the target does with the request.
fn target_steps(s: &State, i: usize, steps: &mut Steps) {
    if s.attempts[i].message != Message::InFlight {
        return;
    }
    let mut t = with(s, i, |a| a.message = Message::Ran);
    t.runs += 1;
    steps.push((Action::TargetRuns, t));
    steps.push((
        Action::TargetRefuses,
        with(s, i, |a| a.message = Message::Refused),
    ));
}

/// From the dispatch to the outcome.
fn end_steps(s: &State, mutation: Option<Mutation>, i: usize, steps: &mut Steps) {
    let a = s.attempts[i];
    let told = |told| with(s, i, |a| a.phase = Phase::Told(told));
    match a.phase {
        Phase::Told(_) | Phase::Dead => return,
        Phase::Sent => sent_steps(s, mutation, i, steps),
        Phase::Answered => steps.push((Action::TellDone, told(Told::Done))),
        // Nothing was sent or it was refused; from here on the attempt never
        // dispatches, whether or not its abort reaches the store.
        Phase::Claimed | Phase::Granted | Phase::Refused => {
            let t = with(s, i, |a| {
                a.phase = Phase::Told(Told::NotRun);
                a.write = Some(Write::Abort);
            });
            steps.push((Action::SendAbort, t));
            steps.push((Action::TellNotRun, told(Told::NotRun)));
        }
        Phase::New | Phase::Claiming | Phase::Existing => {}
    }
    steps.push((Action::Die, with(s, i, |a| a.phase = Phase::Dead)));
}

fn sent_steps(s: &State, mutation: Option<Mutation>, i: usize, steps: &mut Steps) {
    let a = s.attempts[i];
    if a.message == Message::Ran {
        let t = with(s, i, |a| {
            a.phase = Phase::Answered;
            a.write = Some(Write::Complete);
        });
        steps.push((Action::TargetAnswers, t));
    }
    if a.message == Message::Refused {
        steps.push((
            Action::TargetAnswers,
            with(s, i, |a| a.phase = Phase::Refused),
        ));
    }
    let lost = match mutation {
        Some(Mutation::NotRunAfterSend) => Told::NotRun,
        _ => Told::Unknown,
    };
    let t = with(s, i, |a| {
        a.phase = Phase::Told(lost);
        if mutation == Some(Mutation::AbortAfterSend) {
            a.write = Some(Write::Abort);
        }
    });
    steps.push((Action::AnswerLost, t));
    if mutation == Some(Mutation::ResendAfterLostAnswer) && a.message == Message::Ran {
        steps.push((
            Action::Resend,
            with(s, i, |a| a.message = Message::InFlight),
        ));
    }
}
