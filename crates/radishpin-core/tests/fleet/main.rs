//! Tests of a gateway's view of the endpoints: its routing of requests and its load demands.

mod availability;
mod limits;
mod loads;
mod routing;
mod status_news;
mod support;
