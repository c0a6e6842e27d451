//! Breadth-first search over the reachable states of a specification.

use pathfinding::directed::bfs::bfs;
use std::cell::Cell;
use std::fmt::{self, Debug, Display, Formatter};
use std::hash::Hash;
use std::time::{Duration, Instant};

/// The result of searching one case of a specification.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Name of the case.
    pub case: &'static str,
    /// Number of distinct states whose successors were computed.
    pub states: usize,
    /// Number of steps enabled in these states.
    pub transitions: usize,
    /// Duration of the search.
    pub elapsed: Duration,
    /// The shortest execution that violates an invariant; `None` when all hold.
    pub counterexample: Option<Trace>,
}

/// An execution from the initial state to a state that violates an invariant.
#[derive(Clone, Debug)]
pub struct Trace {
    /// The invariant that the last state violates.
    pub invariant: &'static str,
    /// The actions, in order, in `Debug` format.
    pub steps: Vec<Box<str>>,
    /// The last state, in `Debug` format.
    pub last_state: Box<str>,
}

impl Display for Trace {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        writeln!(f, "broken: {}", self.invariant)?;
        for (i, step) in self.steps.iter().enumerate() {
            writeln!(f, "{:3}. {step}", i + 1)?;
        }
        write!(f, "last state: {}", self.last_state)
    }
}

/// Visits every state reachable from `initial`, or stops at the first for which
/// `violated_invariant` returns an invariant.
///
/// `enabled_steps` returns the steps of a state: each action with the state that
/// it leads to.
///
/// # Panics
/// Panics if `enabled_steps` returns other steps for the same state on a second
/// call.
pub fn explore<S, A, FS, FV>(
    case: &'static str,
    initial: &S,
    enabled_steps: FS,
    violated_invariant: FV,
) -> Outcome
where
    S: Clone + Debug + Eq + Hash,
    A: Debug,
    FS: Fn(&S) -> Vec<(A, S)>,
    FV: Fn(&S) -> Option<&'static str>,
{
    let started = Instant::now();
    let states = Cell::new(0);
    let transitions = Cell::new(0);
    let successors = |s: &S| {
        let steps = enabled_steps(s);
        states.set(states.get() + 1);
        transitions.set(transitions.get() + steps.len());
        steps.into_iter().map(|(_, s)| s)
    };
    let path = bfs(initial, successors, |s| violated_invariant(s).is_some());
    Outcome {
        case,
        states: states.get(),
        transitions: transitions.get(),
        elapsed: started.elapsed(),
        counterexample: path.map(|path| trace(&path, enabled_steps, violated_invariant)),
    }
}

/// Collects the outcomes of searches up to the first that has a counterexample.
/// Later searches are not run.
pub fn until_counterexample<I>(outcomes: I) -> Vec<Outcome>
where
    I: IntoIterator<Item = Outcome>,
{
    let mut searched = Vec::new();
    for outcome in outcomes {
        let failed = outcome.counterexample.is_some();
        searched.push(outcome);
        if failed {
            break;
        }
    }
    searched
}

fn trace<S, A, FS, FV>(path: &[S], enabled_steps: FS, violated_invariant: FV) -> Trace
where
    S: Debug + Eq,
    A: Debug,
    FS: Fn(&S) -> Vec<(A, S)>,
    FV: Fn(&S) -> Option<&'static str>,
{
    let last_state = path.last().expect("a path has a state");
    let steps = path.windows(2).map(|pair| {
        let (action, _) = enabled_steps(&pair[0])
            .into_iter()
            .find(|(_, s)| *s == pair[1])
            .expect("each state of the path is a successor of the one before");
        format!("{action:?}").into_boxed_str()
    });
    Trace {
        invariant: violated_invariant(last_state)
            .expect("the last state of the path violates an invariant"),
        steps: steps.collect(),
        last_state: format!("{last_state:?}").into_boxed_str(),
    }
}
