//! The plain service over HTTP: each call runs once, whatever becomes of its answer.

#[path = "support/served.rs"]
mod served;

use http_types::Method;
use radishpin_standin::{PlainService, PlainServiceFaults, PlainServiceSettings, RunEnd};
use served::{Served, eventually, stays_open};
use std::time::Duration;

fn serve(service_time: Duration) -> (PlainService, Served) {
    let service = PlainService::new(PlainServiceSettings {
        name: "booking".into(),
        service_time,
    });
    let serving = service.clone();
    let served = Served::start(|runtime, listener, shutdown| async move {
        serving.serve(runtime, listener, shutdown).await
    });
    (service, served)
}

#[test]
fn a_call_is_echoed_with_its_effect_number() {
    let (_, served) = serve(Duration::ZERO);
    let (_, first) = served.ask(Method::Post, "/orders?urgent=1", "roof");
    let (_, second) = served.ask(Method::Delete, "/orders/1", "");
    insta::assert_snapshot!(first, @r#"{"service":"booking","method":"POST","path":"/orders?urgent=1","body":"roof","effect":1}"#);
    insta::assert_snapshot!(second, @r#"{"service":"booking","method":"DELETE","path":"/orders/1","body":"","effect":2}"#);
}

#[test]
fn lost_and_broken_answers_have_their_effect_once() {
    let (service, served) = serve(Duration::ZERO);
    service.set_faults(PlainServiceFaults {
        lose_replies: 1,
        break_replies: 1,
        frozen: false,
    });
    let lost = served.request(Method::Post, "/orders", "a");
    assert!(stays_open(served.client.send(served.address, lost)).is_none());
    let broken = served.send(served.request(Method::Post, "/orders", "b"));
    let body = broken.map(|mut response| smol::block_on(response.body_bytes()));
    assert!(!matches!(body, Ok(Ok(_))));
    assert_eq!(served.ask(Method::Post, "/orders", "c").0, 200);
    let ends: Vec<_> = service.journal().runs().iter().map(|run| run.end).collect();
    assert_eq!(ends, [RunEnd::Finished; 3]);
}

#[test]
fn a_call_that_is_hung_up_on_runs_to_its_end() {
    let (service, served) = serve(Duration::from_millis(1));
    service.set_faults(PlainServiceFaults {
        frozen: true,
        ..PlainServiceFaults::default()
    });
    let call = served.request(Method::Post, "/orders", "a");
    assert!(stays_open(served.client.send(served.address, call)).is_none());
    assert_eq!(service.journal().runs(), vec![]);
    service.set_faults(PlainServiceFaults::default());
    eventually(|| {
        let runs = service.journal().runs();
        runs.first().is_some_and(|run| run.end == RunEnd::Finished)
    });
}
