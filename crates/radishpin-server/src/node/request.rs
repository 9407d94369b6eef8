//! Requests of callers: parsing, attempts at endpoints, and the response.

mod answer;
mod attempt;
mod body;
mod call;
mod dispatch;
mod keyed;
mod parse;
mod refusal;

pub(super) use call::{Call, CallKind};
pub(super) use parse::{parse_model_call, parse_service_call};
pub(super) use refusal::{Refusal, refusal_response};
