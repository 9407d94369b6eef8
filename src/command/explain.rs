//! `radishpin explain`: reconstructs what happened to one request from the logs of all processes.

mod line;
mod logs;
mod timeline;

use super::CommandSpec;
use crate::{
    CommandError,
    settings::{Kind, Setting, Values},
};
use logs::Logs;
use std::{
    fs::File,
    io::{self, BufRead, BufReader, Write},
};

static REQUEST: Setting = Setting::required(
    "request",
    Kind::Name,
    "Id of the request, as shown to the caller and in log lines.",
);

pub(super) static SPEC: CommandSpec = CommandSpec {
    name: "explain",
    summary: "Show from log files what happened to a request, and why.",
    usages: &["--request ID [FILE...]"],
    settings: &[&REQUEST],
    examples: &[
        "radishpin explain --request 4590d4f904c2f873 gateway.log sidecar.log",
        "radishpin explain --request 4590d4f904c2f873",
    ],
    notes: "Reads the logs of several processes, in one file or several; standard input if no file\n\
            is given. Lines are sorted by time; the clocks of hosts may differ slightly.\n",
    check: |_| Vec::new(),
};

pub(super) fn run(values: &Values) -> Result<(), CommandError> {
    let id = values.text(&REQUEST)?;
    let mut readers: Vec<(&str, Box<dyn BufRead>)> = Vec::new();
    for path in values.operands() {
        let file = File::open(path).map_err(|cause| CommandError::File {
            path: path.clone(),
            cause,
        })?;
        readers.push((path, Box::new(BufReader::new(file))));
    }
    if readers.is_empty() {
        readers.push(("standard input", Box::new(io::stdin().lock())));
    }
    let timeline = explain_request(&id, readers)?;
    io::stdout().lock().write_all(timeline.as_bytes())?;
    Ok(())
}

/// Returns the timeline of a request from `logs`, pairs of a file name and a reader.
///
/// # Errors
/// A log cannot be read, or no line has the id of the request.
pub fn explain_request<R: BufRead>(
    id: &str,
    logs: impl IntoIterator<Item = (impl AsRef<str>, R)>,
) -> Result<String, CommandError> {
    let mut collected = Logs::default();
    for (name, reader) in logs {
        collected.read(name.as_ref(), reader)?;
    }
    let logs = collected.sorted();
    timeline::render(&logs, id).ok_or_else(|| CommandError::NotInLogs {
        id: id.to_owned(),
        covered: logs.coverage(),
    })
}
