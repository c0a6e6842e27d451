//! Breadth-first search over the reachable states of a specification.

use pathfinding::directed::bfs::bfs;
use std::cell::Cell;
use std::fmt::{self, Debug, Display, Formatter};
use std::hash::Hash;
use std::time::{Duration, Instant};

/// What a search found.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Name of the instance that was searched.
    pub instance: &'static str,
    /// Distinct states whose successors were computed.
    pub states: usize,
    /// Steps taken from these states.
    pub transitions: usize,
    /// Duration of the search.
    pub elapsed: Duration,
    /// The shortest run that breaks an invariant; `None` when all hold.
    pub counterexample: Option<Trace>,
}

/// A run from the start state to a state that breaks an invariant.
#[derive(Clone, Debug)]
pub struct Trace {
    /// The invariant that fails in the last state.
    pub invariant: &'static str,
    /// The steps.
    pub steps: Vec<Box<str>>,
    /// The last state.
    pub end: Box<str>,
}

impl Display for Trace {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        writeln!(f, "broken: {}", self.invariant)?;
        for (i, step) in self.steps.iter().enumerate() {
            writeln!(f, "{:3}. {step}", i + 1)?;
        }
        write!(f, "last state: {}", self.end)
    }
}

/// Visits every state reachable from `start`, or stops at the first that
/// `broken` names an invariant for.
///
/// # Panics
/// When `next` lists other steps for the same state on a second call.
pub fn explore<S, A, FN, FB>(instance: &'static str, start: &S, next: FN, broken: FB) -> Outcome
where
    S: Clone + Debug + Eq + Hash,
    A: Debug,
    FN: Fn(&S) -> Vec<(A, S)>,
    FB: Fn(&S) -> Option<&'static str>,
{
    let began = Instant::now();
    let states = Cell::new(0);
    let transitions = Cell::new(0);
    let successors = |s: &S| {
        let steps = next(s);
        states.set(states.get() + 1);
        transitions.set(transitions.get() + steps.len());
        steps.into_iter().map(|(_, s)| s)
    };
    let path = bfs(start, successors, |s| broken(s).is_some());
    Outcome {
        instance,
        states: states.get(),
        transitions: transitions.get(),
        elapsed: began.elapsed(),
        counterexample: path.map(|path| trace(&path, next, broken)),
    }
}

fn trace<S, A, FN, FB>(path: &[S], next: FN, broken: FB) -> Trace
where
    S: Debug + Eq,
    A: Debug,
    FN: Fn(&S) -> Vec<(A, S)>,
    FB: Fn(&S) -> Option<&'static str>,
{
    let end = path.last().expect("a path has a state");
    let steps = path.windows(2).map(|pair| {
        let (action, _) = next(&pair[0])
            .into_iter()
            .find(|(_, s)| *s == pair[1])
            .expect("the path follows the steps");
        format!("{action:?}").into_boxed_str()
    });
    Trace {
        invariant: broken(end).expect("the path ends in a broken state"),
        steps: steps.collect(),
        end: format!("{end:?}").into_boxed_str(),
    }
}
