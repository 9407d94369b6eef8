//! `radishpin explain`: the timeline of one request from the logs of a gateway and a sidecar.

#![allow(
    clippy::unwrap_used,
    reason = "the panic of a failed test gives its location"
)]

use insta::assert_snapshot;
use radishpin_cli::explain_request;

const GATEWAY: &str = include_str!("explain/gateway.log");
const SIDECAR: &str = include_str!("explain/sidecar.log");

fn explain(id: &str) -> String {
    let logs = [
        ("sidecar.log", SIDECAR.as_bytes()),
        ("gateway.log", GATEWAY.as_bytes()),
    ];
    explain_request(id, logs).unwrap_or_else(|fault| format!("error: {fault}"))
}

#[test]
fn a_stream_that_was_cut() {
    assert_snapshot!(explain("2bba850d358100ac"));
}

#[test]
fn an_unknown_outcome_with_what_happened_to_its_engine() {
    assert_snapshot!(explain("de59af9e6be9e57c"));
}

#[test]
fn a_refusal_for_a_load() {
    assert_snapshot!(explain("17e3aa89da22d3d1"));
}

#[test]
fn an_unknown_id_reports_what_the_logs_cover() {
    assert_snapshot!(explain("0000000000000000"), @"error: no line about request 0000000000000000 in 12 lines of 2 files, 1 unreadable, from 2026-07-22T07:06:04.933Z to 2026-07-22T07:06:11.072Z; check the id, and whether the logs of all gateways of that time are given");
}

/// Covers invalid UTF-8, an invalid time, and an unterminated quote in a line without a newline.
#[test]
fn unparsable_lines_are_counted_and_skipped() {
    let garbage: &[u8] =
        b"\xff\xfe time=\n\ntime=yesterday event=x\ntime=2026-07-22T07:06:04.933Z msg=\"open\nx";
    let fault = explain_request("r", [("garbage", garbage)]).unwrap_err();
    assert_snapshot!(fault, @"no line about request r in 0 lines of 1 files, 4 unreadable; check the id, and whether the logs of all gateways of that time are given");
}
