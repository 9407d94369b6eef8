//! Exhaustive breadth-first exploration of a state graph.

use std::{
    collections::{BTreeSet, VecDeque},
    fmt::Debug,
};

/// Visits every reachable state once. Returns the number of states, or the first violation found.
/// States with equal `Debug` output are treated as the same state.
pub fn explore<S: Debug>(
    initial: S,
    successors: impl Fn(&S) -> Vec<S>,
    violation: impl Fn(&S) -> Option<&'static str>,
) -> Result<usize, &'static str> {
    let mut seen: BTreeSet<String> = BTreeSet::new();
    let mut queue = VecDeque::from([initial]);
    while let Some(state) = queue.pop_front() {
        if !seen.insert(format!("{state:?}")) {
            continue;
        }
        if let Some(violation) = violation(&state) {
            return Err(violation);
        }
        queue.extend(successors(&state));
    }
    Ok(seen.len())
}

/// Explores with each fault in turn; returns one line per fault with the result.
pub fn findings<F: Copy + Debug>(
    faults: &[F],
    explore: impl Fn(F) -> Result<usize, &'static str>,
) -> String {
    let line = |fault: &F| format!("{fault:?}: {:?}", explore(*fault));
    let lines: Vec<String> = faults.iter().map(line).collect();
    lines.join("\n")
}
