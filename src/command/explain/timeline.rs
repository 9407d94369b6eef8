//! Formats the timeline of one request.

use super::{line::LogLine, logs::Logs};
use std::{collections::BTreeSet, fmt::Write as _, time::Duration};

/// Time before the first line of a request in which other events may have caused its outcome.
const CONTEXT_BEFORE: Duration = Duration::from_secs(5);
/// Time after the last line of a request in which failures of its endpoints may still be logged.
const CONTEXT_AFTER: Duration = Duration::from_secs(2);
/// Events of an engine, which its sidecar logs without the name of the endpoint.
const ENGINE_EVENTS: [&str; 3] = ["engine_lost", "engine_regained", "engine_replaced"];
/// Events that tell what an endpoint said in its answer to another request.
const ENDPOINT_STATEMENTS: [&str; 2] = ["endpoint_drains", "endpoint_backoff"];
/// Events that concern a process rather than a request or an endpoint.
const PROCESS_EVENTS: [&str; 6] = [
    "started",
    "stopping",
    "stopped",
    "store_lost",
    "store_regained",
    "lines_left_out",
];

/// Formats the timeline of a request; returns `None` if no line has its id.
pub(super) fn render(logs: &Logs, id: &str) -> Option<String> {
    let request_lines: Vec<&LogLine> = logs.lines().iter().filter(|l| l.is_about(id)).collect();
    let (first, last) = (request_lines.first()?, request_lines.last()?);
    let mut text = format!("request {id} ({})\n", logs.coverage());
    for line in &request_lines {
        write_line(&mut text, line, &describe(line));
    }
    let nearby = logs.between(first.time - CONTEXT_BEFORE, last.time + CONTEXT_AFTER);
    let nearby = related(nearby, &request_lines, logs);
    if !nearby.is_empty() {
        text.push_str("meanwhile\n");
    }
    for line in nearby {
        write_line(
            &mut text,
            line,
            &format!("{} ({})", line.event(), line.specific_fields()),
        );
    }
    let _ = writeln!(text, "so: {}", conclusion(&request_lines));
    Some(text)
}

fn write_line(text: &mut String, line: &LogLine, description: &str) {
    let time = humantime::format_rfc3339_millis(line.time);
    let description = description.replace(['\n', '\r'], " ");
    let _ = writeln!(text, "  {time} {}: {description}", line.source);
}

/// Selects events of the endpoints and processes that handled the request. Lines of other requests
/// and orders for other models are excluded.
fn related<'a>(nearby: &'a [LogLine], request_lines: &[&LogLine], logs: &Logs) -> Vec<&'a LogLine> {
    let endpoints: BTreeSet<&str> = request_lines
        .iter()
        .filter_map(|l| l.field("endpoint"))
        .collect();
    let sources: BTreeSet<&str> = request_lines
        .iter()
        .map(|line| line.source.as_str())
        .collect();
    let sidecars: BTreeSet<&str> = logs
        .lines()
        .iter()
        .filter(|l| l.event() == "order_sent" && endpoints.contains(l.field_or_dash("endpoint")))
        .map(|line| line.source.as_str())
        .collect();
    let models: BTreeSet<&str> = request_lines
        .iter()
        .filter_map(|l| l.field("model"))
        .collect();
    let is_related = |line: &&LogLine| {
        let names_request = line.field("request").is_some() || line.field("request_id").is_some();
        let other_request = names_request && !ENDPOINT_STATEMENTS.contains(&line.event());
        let other_model =
            line.event() == "order_sent" && !models.contains(line.field_or_dash("model"));
        if other_request || other_model {
            return false;
        }
        let source = line.source.as_str();
        let process_event = PROCESS_EVENTS.contains(&line.event());
        let engine_event = ENGINE_EVENTS.contains(&line.event());
        endpoints.contains(line.field_or_dash("endpoint"))
            || (process_event && (sources.contains(source) || sidecars.contains(source)))
            || (engine_event && sidecars.contains(source))
    };
    nearby.iter().filter(is_related).collect()
}

/// The endpoint's software version, the attempt that a resumed stream began as and the shared parts
/// of the prompt, where the line tells them.
fn software_origin_and_parts(line: &LogLine) -> String {
    let known = |key: &str| line.field(key).filter(|value| *value != "-");
    let software = known("software_version").map(|version| format!(" of version {version}"));
    let origin = known("resumes").map(|attempt| format!(", to resume the stream of {attempt}"));
    let parts = known("shared_parts").map(|parts| format!(", its prompt shares the parts {parts}"));
    [software, origin, parts].into_iter().flatten().collect()
}

fn describe(line: &LogLine) -> String {
    let f = |key: &str| line.field_or_dash(key);
    match line.event() {
        "request_sent" => format!(
            "sent to {}{} (load {} by status {} of {} ms ago, configuration {}; waited {} ms, {} ms left, {} endpoints tried before)",
            f("endpoint"),
            software_origin_and_parts(line),
            f("load"),
            f("status"),
            f("status_age_ms"),
            f("configuration"),
            f("waited_ms"),
            f("left_ms"),
            f("tried"),
        ),
        "request_waits" => format!(
            "waits for {} (adapter {}) at {}, by estimate {} ms; {} ms left",
            f("model"),
            f("adapter"),
            f("endpoint"),
            f("estimate_ms"),
            f("left_ms"),
        ),
        "request_refused" => format!(
            "refused: {}; model {}, the caller would stay {} ms, waited {} ms, told to come back in {} ms, loaded meanwhile at {}",
            f("reason"),
            f("model"),
            f("patience_ms"),
            f("waited_ms"),
            f("retry_after_ms"),
            f("loads_at"),
        ),
        "request_denied" => format!(
            "not served for its key: {}; route {}, configuration {} known as the newest {} ms ago, in touch with the store: {}",
            f("reason"),
            f("route"),
            f("configuration"),
            f("configuration_age_ms"),
            f("in_touch"),
        ),
        "attempt_failed" => format!(
            "{} brought no answer: {} ({}) after {} ms",
            f("endpoint"),
            f("outcome"),
            f("cause"),
            f("took_ms"),
        ),
        "connection_broke" => format!(
            "the connection to {} of version {} broke (fingerprint of the request {})",
            f("endpoint"),
            f("software_version"),
            f("fingerprint"),
        ),
        "crash_refusal" => format!(
            "endpoints crashed under its {} {}; next trial in {} ms, tried now: {}",
            f("suspect"),
            f("id"),
            f("trial_in_ms"),
            f("tried"),
        ),
        "endpoint_drains" => format!("{} said that it drains", f("endpoint")),
        "endpoint_backoff" => format!(
            "{} asked for a backoff of {} ms",
            f("endpoint"),
            f("backoff_ms"),
        ),
        "stream_resumes" => format!("the stream broke off; goes on after event {}", f("after")),
        "stream_resumption" => format!(
            "its caller resumes the stream of {}, which began at software version {} (known from: {})",
            f("resumes"),
            f("software_version"),
            f("source"),
        ),
        "stream_ended_early" => format!(
            "the answer of {} ended before its stream did: {} events, framing {}, inside an event: {}",
            f("endpoint"),
            f("events"),
            f("framing"),
            f("inside_event")
        ),
        "stream_passed" => format!(
            "stream passed on whole: first event after {} ms, longest gap {} ms",
            f("first_event_ms"),
            f("longest_gap_ms"),
        ),
        "request_ended" => format!(
            "ended: {} with status {} after {} ms ({}); {} sends without an answer may have run, {} did not run",
            f("outcome"),
            f("status"),
            f("took_ms"),
            f("reason"),
            f("sends_ran"),
            f("sends_refused"),
        ),
        event => format!("{event} ({})", line.specific_fields()),
    }
}

/// Explains the outcome in the last line of a request that tells its end.
fn conclusion(request_lines: &[&LogLine]) -> &'static str {
    let ended = request_lines
        .iter()
        .rev()
        .find(|l| matches!(l.event(), "request_ended" | "request_denied"));
    let Some(ended) = ended else {
        return "its end is not in these logs: the process died, or its lines are left out or elsewhere";
    };
    if ended.event() == "request_denied" {
        return refusal(ended.field_or_dash("reason"));
    }
    match (
        ended.field_or_dash("outcome"),
        ended.field_or_dash("reason"),
    ) {
        ("answered", _) => "it was answered",
        ("refused", reason) => refusal(reason),
        ("failed", _) if ended.field_or_dash("sends_ran") == "0" => {
            "it failed before an endpoint had it"
        }
        ("failed", _) => {
            "an endpoint had it and gave no answer; it may have run, and only the service behind that endpoint knows"
        }
        ("cut", "out_of_time") => "its time ran out in the middle of the stream",
        ("cut", _) => {
            "its endpoint went away in the middle of the stream, and no other one could go on"
        }
        ("canceled", _) => "its caller left",
        _ => "see its last line",
    }
}

fn refusal(reason: &str) -> &'static str {
    match reason {
        "load_too_late" => {
            "it did not run: no endpoint held its model, and the soonest load would have ended after its caller left"
        }
        "no_loader" => "it did not run: no endpoint held its model, and none could load it",
        "busy" => "it did not run: the endpoints that hold its model had no place",
        "no_endpoint" => "it did not run: its service had no endpoint that takes requests",
        "endpoint_backoff" => {
            "it did not run: the endpoints that could serve it had asked for backoffs"
        }
        "limited" => {
            "it did not run: the endpoints that could serve it limit their requests, and their next slots came too late"
        }
        "crashing_prompt" => "it did not run: engines crashed under a part of its prompt",
        "crashing_request" => "it did not run: endpoints crashed under this request before",
        "stopping" => "it did not run: its gateway was stopping",
        "version_gone" => {
            "it did not run: no endpoint runs the software version that began its stream"
        }
        "version_unknown" => {
            "it did not run: no one knew the software version that began its stream, and several may serve"
        }
        "unknown_model" => "it did not run: the configuration in force offers no such model",
        "over_quota" => "it did not run: its customer was over its quota",
        "over_share" => {
            "it did not run: no endpoint that could serve it had a free slot, and its customer was over its share"
        }
        "key_missing" => "it did not run: its route needs a customer's key, and it carried none",
        "key_malformed" => {
            "it did not run: it carried several keys, an empty one, or something else"
        }
        "key_unknown" => "it did not run: no customer holds its key",
        "key_unconfirmed" => {
            "it did not run: its gateway knew no customer with its key, but could not reach the store"
        }
        "key_moved" => "it did not run: another customer got its key while it waited",
        "configuration_outdated" => {
            "it did not run: its gateway could not reach the store for so long that keys may have been revoked"
        }
        "refused_by_endpoints" => "it did not run: each endpoint that it was sent to refused it",
        "out_of_time" => "it did not run: its time was over before it could be sent",
        _ => "it did not run",
    }
}
