//! Exhaustive exploration of a state graph, breadth first.

use std::{
    collections::{BTreeSet, VecDeque},
    fmt::Debug,
};

/// Visits every state once; returns their number, or the first violation.
pub fn explore<S: Debug>(
    initial: S,
    successors: impl Fn(&S) -> Vec<S>,
    violation: impl Fn(&S) -> Option<&'static str>,
) -> Result<usize, &'static str> {
    let mut seen: BTreeSet<String> = BTreeSet::new();
    let mut open = VecDeque::from([initial]);
    while let Some(state) = open.pop_front() {
        if !seen.insert(format!("{state:?}")) {
            continue;
        }
        if let Some(violation) = violation(&state) {
            return Err(violation);
        }
        open.extend(successors(&state));
    }
    Ok(seen.len())
}

/// What the exploration finds with each of the faults, one line each.
pub fn findings<F: Copy + Debug>(
    faults: &[F],
    explore: impl Fn(F) -> Result<usize, &'static str>,
) -> String {
    let line = |fault: &F| format!("{fault:?}: {:?}", explore(*fault));
    let lines: Vec<String> = faults.iter().map(line).collect();
    lines.join("\n")
}
