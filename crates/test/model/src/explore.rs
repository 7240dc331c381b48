//! Exhaustive search by the breadth-first search of `pathfinding`.

use {
    pathfinding::directed::bfs::bfs,
    std::{
        cell::Cell,
        fmt,
        hash::{Hash, Hasher},
    },
};

/// A small specification.
pub trait Model {
    /// State of everything that the specification speaks of.
    type State: Clone + Eq + Hash;

    /// Returns the state in which everything begins.
    fn start(&self) -> Self::State;

    /// Returns everything that may happen next.
    fn next(&self, state: &Self::State) -> Vec<Step<Self::State>>;

    /// Returns the promise that `state` breaks.
    fn broken(&self, state: &Self::State) -> Option<&'static str>;
}

/// Something that may happen, with the state that follows.
#[derive(Clone, Debug)]
pub struct Step<S> {
    /// What happened.
    pub label: String,
    /// State that follows.
    pub state: S,
}

/// A broken promise.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The promise.
    pub promise: &'static str,
    /// Shortest way to the state that breaks it.
    pub trace: Vec<String>,
}

/// What a search found.
#[derive(Clone, Debug)]
pub struct Report {
    /// Number of states that were visited.
    pub states: usize,
    /// Number of steps between them.
    pub steps: usize,
    /// The violation that is nearest to the start.
    pub violation: Option<Violation>,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}, after:", self.promise)?;
        for (i, label) in self.trace.iter().enumerate() {
            writeln!(f, "{:3}. {label}", i + 1)?;
        }
        Ok(())
    }
}

/// A state with the label of the step that first led to it.
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
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.state.hash(state);
    }
}

/// Visits every reachable state until one breaks a promise.
pub fn explore<M: Model>(model: &M) -> Report {
    let states = Cell::new(0);
    let steps = Cell::new(0);
    let start = Node {
        label: String::new(),
        state: model.start(),
    };
    let path = bfs(
        &start,
        |node| {
            states.set(states.get() + 1);
            let next = model.next(&node.state);
            steps.set(steps.get() + next.len());
            next.into_iter().map(|step| Node {
                label: step.label,
                state: step.state,
            })
        },
        |node| model.broken(&node.state).is_some(),
    );
    Report {
        states: states.get(),
        steps: steps.get(),
        violation: path.and_then(|path| violation(model, path)),
    }
}

fn violation<M: Model>(model: &M, path: Vec<Node<M::State>>) -> Option<Violation> {
    let promise = model.broken(&path.last()?.state)?;
    let trace = path.into_iter().skip(1).map(|node| node.label).collect();
    Some(Violation { promise, trace })
}
