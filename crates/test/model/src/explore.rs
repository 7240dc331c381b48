//! Exhaustive breadth-first search of a model's state space.

use {
    pathfinding::directed::bfs::bfs,
    std::{
        cell::Cell,
        fmt,
        hash::{Hash, Hasher},
    },
};

/// A state machine with invariants, small enough to be searched exhaustively.
pub trait Model {
    /// State of the model.
    type State: Clone + Eq + Hash;

    /// Returns the initial state.
    fn initial_state(&self) -> Self::State;

    /// Returns every step that is possible in `state`, faults included.
    fn steps(&self, state: &Self::State) -> Vec<Step<Self::State>>;

    /// Returns the invariant that `state` violates, if any.
    fn violated_invariant(&self, state: &Self::State) -> Option<&'static str>;
}

/// A transition to a successor state.
#[derive(Clone, Debug)]
pub struct Step<S> {
    /// Description of the event, shown in traces.
    pub label: String,
    /// Successor state.
    pub state: S,
}

/// A violated invariant, with the trace that leads to it.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The invariant.
    pub invariant: &'static str,
    /// Labels of the shortest path from the initial state to the violation.
    pub trace: Vec<String>,
}

/// Result of a search.
#[derive(Clone, Debug)]
pub struct Report {
    /// Number of states visited.
    pub states: usize,
    /// Number of steps between the visited states.
    pub steps: usize,
    /// A violation at the least distance from the initial state.
    pub violation: Option<Violation>,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}, after:", self.invariant)?;
        for (i, label) in self.trace.iter().enumerate() {
            writeln!(f, "{:3}. {label}", i + 1)?;
        }
        Ok(())
    }
}

/// A state with the label of the step that first reached it; equality ignores the label.
#[derive(Clone)]
struct Node<S> {
    label: String,
    state: S,
}

impl<S: PartialEq> PartialEq for Node<S> {
    fn eq(&self, other: &Self) -> bool {
        self.state == other.state
    }
}

impl<S: Eq> Eq for Node<S> {}

impl<S: Hash> Hash for Node<S> {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.state.hash(hasher);
    }
}

/// Visits every reachable state breadth first, up to the first that violates an invariant.
pub fn explore<M: Model>(model: &M) -> Report {
    let states = Cell::new(0);
    let steps = Cell::new(0);
    let start = Node {
        label: String::new(),
        state: model.initial_state(),
    };
    let path = bfs(
        &start,
        |node| {
            states.set(states.get() + 1);
            let next = model.steps(&node.state);
            steps.set(steps.get() + next.len());
            next.into_iter().map(|step| Node {
                label: step.label,
                state: step.state,
            })
        },
        |node| model.violated_invariant(&node.state).is_some(),
    );
    Report {
        states: states.get(),
        steps: steps.get(),
        violation: path.and_then(|path| violation_at_end(model, path)),
    }
}

fn violation_at_end<M: Model>(model: &M, path: Vec<Node<M::State>>) -> Option<Violation> {
    let invariant = model.violated_invariant(&path.last()?.state)?;
    let trace = path.into_iter().skip(1).map(|node| node.label).collect();
    Some(Violation { invariant, trace })
}
