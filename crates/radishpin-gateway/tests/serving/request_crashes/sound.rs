//! Sound requests that must not suffer from what is done about one that crashes endpoints.

use super::{
    super::{cluster::DOWNTIME, endpoint::Behavior},
    fixture::{
        BAD_BODY, CONTACT, Fixture, LATE_MAX, LATE_TIME, PAUSE, is_whole, lookup, order, send,
    },
};
use radishpin_gateway::GatewayProcess;
use std::{
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::{Duration, Instant},
};

/// One caller polls with the same request, which runs beside the one that crashes the endpoints.
#[test]
fn a_sound_request_is_served_that_is_polled_while_another_one_crashes_its_endpoints() {
    let fixture = Fixture::plain();
    let second = fixture.cluster.start_gateway_on("host-2");
    let gateways = [&fixture.cluster.gateway, &second];
    fixture.cluster.wait_until_ready();
    let ended = AtomicBool::new(false);
    thread::scope(|scope| {
        for caller in 0..4 {
            let (fixture, ended) = (&fixture, &ended);
            let gateway = gateways[caller % 2];
            scope.spawn(move || {
                for n in 0.. {
                    if ended.load(Ordering::Relaxed) {
                        return;
                    }
                    let id = format!("poll{caller}-{n}");
                    send(&fixture.cluster, gateway, &lookup(), &id);
                    thread::sleep(Duration::from_millis(10));
                }
            });
        }
        fixture.send_until_noticed(&gateways, &order().body(BAD_BODY));
        ended.store(true, Ordering::Relaxed);
    });
    let late = fixture.late_arrivals(&gateways, &order().body(BAD_BODY), &[lookup()]);
    assert!(late <= LATE_MAX, "{late} reached endpoints late");
}

/// Loses all endpoints three times while they run the request, which is never answered before.
fn lose_endpoints_three_times(fixture: &Fixture, gateways: &[&GatewayProcess]) {
    for round in 0..3 {
        for endpoint in &fixture.endpoints {
            endpoint.script(&[Behavior::Hang; 4]);
        }
        thread::scope(|scope| {
            for (n, gateway) in gateways.iter().enumerate() {
                let cluster = &fixture.cluster;
                scope.spawn(move || send(cluster, gateway, &order(), &format!("{round}-{n}")));
            }
            thread::sleep(Duration::from_millis(200));
            for endpoint in &fixture.endpoints {
                endpoint.script(&[]);
                endpoint.crash();
            }
        });
        thread::sleep(DOWNTIME + Duration::from_millis(300));
    }
}

/// Sends the request this often, each time to the next gateway; returns how many were served.
fn count_served(fixture: &Fixture, gateways: &[&GatewayProcess], sends: usize) -> usize {
    let served = (0..sends).filter(|n| {
        thread::sleep(PAUSE);
        let gateway = gateways[n % gateways.len()];
        let got = send(&fixture.cluster, gateway, &order(), &format!("later{n}"));
        is_whole(&got)
    });
    served.count()
}

/// No sidecar can permit a trial of the request for a while, as a rack with the holders was lost.
#[test]
fn a_sound_request_is_served_once_sidecars_that_permit_its_trial_are_back() {
    let fixture = Fixture::plain();
    let gateway = &fixture.cluster.gateway;
    fixture.cluster.wait_until_ready();
    lose_endpoints_three_times(&fixture, &[gateway]);
    for engine in &fixture.engines {
        fixture.cluster.store.remove("servers", &engine.id);
    }
    let until = Instant::now() + LATE_TIME;
    for n in 0.. {
        if Instant::now() >= until {
            break;
        }
        send(&fixture.cluster, gateway, &order(), &format!("denied{n}"));
        thread::sleep(PAUSE);
    }
    for engine in &fixture.engines {
        fixture.cluster.list_endpoint(engine, "drafts", "ready");
    }
    thread::sleep(CONTACT);
    let served = count_served(&fixture, &[gateway], 10);
    assert!(served >= 9, "{served} of 10 served");
}

#[test]
fn a_sound_request_is_served_that_ran_when_all_endpoints_were_lost_three_times() {
    let fixture = Fixture::plain();
    let second = fixture.cluster.start_gateway_on("host-2");
    let gateways = [&fixture.cluster.gateway, &second];
    fixture.cluster.wait_until_ready();
    lose_endpoints_three_times(&fixture, &gateways);
    thread::sleep(CONTACT);
    let served = count_served(&fixture, &gateways, 20);
    assert!(served >= 18, "{served} of 20 served");
}

#[test]
fn a_request_that_crashed_endpoints_is_served_by_the_next_software_version() {
    let fixture = Fixture::plain();
    fixture.cluster.wait_until_ready();
    let gateway = &fixture.cluster.gateway;
    let request = order().body(BAD_BODY);
    fixture.send_until_noticed(&[gateway], &request);
    let next = &fixture.endpoints[0];
    next.crash_on_body(None);
    next.restart();
    next.set_software_version("v2");
    fixture.cluster.list_endpoint(next, "shop", "ready");
    thread::sleep(CONTACT);
    let before = fixture.arrivals();
    for n in 0..10 {
        let got = send(&fixture.cluster, gateway, &request, &format!("v2-{n}"));
        assert!(is_whole(&got), "{n}: {got}");
    }
    assert_eq!(
        fixture.arrivals() - before,
        10,
        "others than the new version got it"
    );
}

/// Answers with errors, connections that only break, and silence are no crashes.
#[test]
fn a_request_that_endpoints_fail_without_crashing_keeps_reaching_them() {
    let fixture = Fixture::plain();
    fixture.cluster.wait_until_ready();
    let gateway = &fixture.cluster.gateway;
    for behavior in [Behavior::Fail, Behavior::Close, Behavior::Hang] {
        for endpoint in &fixture.endpoints {
            endpoint.script(&[behavior; 2]);
        }
        for n in 0..8 {
            let request = order().deadline_ms(300);
            send(
                &fixture.cluster,
                gateway,
                &request,
                &format!("{behavior:?}{n}"),
            );
        }
        for endpoint in &fixture.endpoints {
            endpoint.script(&[]);
        }
        thread::sleep(Duration::from_secs(1));
        let got = send(
            &fixture.cluster,
            gateway,
            &order(),
            &format!("{behavior:?}-after"),
        );
        assert!(is_whole(&got), "{behavior:?}: {got}");
    }
}
