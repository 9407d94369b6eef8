//! Measures what gateways and sidecars spend on the state that gateways share.
//!
//! Run with `cargo run --release -p radishpin-core --example shared_state`.

use radishpin_core::{
    process::{
        CrashRecord, CrashTable, ExposedRequest, ExposureEnd, Exposures, SUSPECTS_MAX, SeenNews,
        SendSlots, SharedReply, SharedRequest, Suspect, SuspectCrashes, Suspects, choose_holders,
    },
    request::{RequestIdentity, RequestRate, SharedParts, StreamOrigin, StreamOrigins},
};
use serde::Serialize;
use std::{
    hint::black_box,
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

/// Repetitions per measurement.
const REPEATS: u32 = 2_000;
/// Parts that the requests of one crashed engine share.
const PARTS_PER_CRASH: u64 = 20;

fn main() {
    measure_origins();
    measure_holders();
    measure_exposures();
    measure_crashes();
    measure_request_crashes();
    measure_fingerprints();
    measure_slots();
}

/// Prints the mean time of a step, which gets its number.
fn time(name: &str, mut step: impl FnMut(u32)) {
    let started = Instant::now();
    (0..REPEATS).for_each(&mut step);
    println!("{name}: {:?}", started.elapsed() / REPEATS);
}

fn print_size(name: &str, message: &impl Serialize) {
    let bytes = serde_json::to_vec(message).unwrap_or_default().len();
    println!("{name}: {bytes} bytes");
}

fn measure_origins() {
    let origin = |n: u32| StreamOrigin {
        attempt: format!("{n:016x}"),
        send: 1,
        software_version: Some("v1.2".to_owned()),
    };
    let message = SharedRequest::RecordOrigin(origin(1));
    print_size("message with an origin", &message);
    let mut origins = StreamOrigins::default();
    time("record an origin", |n| {
        origins.record(origin(n), Duration::from_secs(1));
    });
}

fn measure_holders() {
    for sidecars in [18_u32, 48, 7_400] {
        let addresses: Vec<SocketAddr> = (0..sidecars)
            .map(|n| SocketAddr::from((Ipv4Addr::from(0x0a00_0000 + n), 7_380)))
            .collect();
        time(&format!("choose 3 of {sidecars} sidecars"), |n| {
            let holders = addresses.iter().map(|address| (*address, address));
            black_box(choose_holders(&format!("{n:016x}"), holders, 3));
        });
    }
}

fn measure_exposures() {
    let mut exposures = Exposures::default();
    time("begin, end and settle a request", |n| {
        let now = Duration::from_millis(u64::from(n) * 43);
        let exposed = ExposedRequest {
            parts: [1, u64::from(n % 100)].into_iter().collect(),
            ..ExposedRequest::default()
        };
        let exposure = exposures.begin("i-0123456789", 1, exposed);
        exposures.end(exposure, ExposureEnd::Served, None, now);
        black_box(exposures.settle(now));
    });
}

fn crash_of(parts: impl Iterator<Item = u64>, crash: u64) -> Vec<SuspectCrashes> {
    let crash = CrashRecord {
        crash: crash.wrapping_mul(0x9e37_79b9_7f4a_7c15),
        age_ms: 150,
        ..CrashRecord::default()
    };
    let against = |part: u64| SuspectCrashes {
        suspect: Suspect::PromptPart(part.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
        crashes: vec![crash],
    };
    parts.map(against).collect()
}

fn measure_crashes() {
    let now = Duration::from_secs(1);
    let report = crash_of(0..PARTS_PER_CRASH, 1);
    print_size(
        "message with a crash",
        &SharedRequest::MergeCrashes(report.clone()),
    );
    let mut full = CrashTable::default();
    for crash in 0..2 {
        full.merge(crash_of(0..SUSPECTS_MAX as u64, crash), now);
    }
    let parts: SharedParts = [1, 2].into_iter().collect();
    let suspects = Suspects::new(&parts, None, 0);
    let empty = CrashTable::default();
    time("verdict without suspects", |_| {
        black_box(empty.verdict(&suspects, now));
    });
    time("verdict with a full table", |_| {
        black_box(full.verdict(&suspects, now));
    });
    time("merge a crash into a full table", |_| {
        black_box(full.clone().merge(report.clone(), now));
    });
    let table = |crashes: &CrashTable| SharedReply::News {
        seen: SeenNews {
            incarnation: u64::MAX,
            crashes_version: 1,
            limits_version: 1,
        },
        crashes: crashes.messages_since(0, now),
        limits: Vec::new(),
    };
    print_size("answer to a watch without crashes", &table(&empty));
    let mut one = CrashTable::default();
    one.merge(report, now);
    one.merge(crash_of(0..2, 2), now);
    print_size("answer to a watch after a crash", &table(&one));
    print_size("answer to a watch with a full table", &table(&full));
    time("answer a watch with a full table", |_| {
        black_box(serde_json::to_vec(&table(&full)).unwrap_or_default());
    });
}

/// Suspects as they are where whole requests crash endpoints.
fn measure_request_crashes() {
    let now = Duration::from_secs(1);
    let crash = |crash: u64| CrashRecord {
        crash: crash.wrapping_mul(0x9e37_79b9_7f4a_7c15),
        age_ms: 150,
        variant: u64::MAX,
        ..CrashRecord::default()
    };
    let against = |request: u64, crashes: u64| SuspectCrashes {
        suspect: Suspect::Request(request.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
        crashes: (0..crashes).map(crash).collect(),
    };
    print_size(
        "message with a crash under one request",
        &SharedRequest::MergeCrashes(vec![against(1, 1)]),
    );
    print_size(
        "message with three crashes under one request",
        &SharedRequest::MergeCrashes(vec![against(1, 3)]),
    );
    let mut full = CrashTable::default();
    full.merge(
        (0..SUSPECTS_MAX as u64).map(|n| against(n, 8)).collect(),
        now,
    );
    print_size(
        "a full table of requests with eight crashes each",
        &SharedRequest::MergeCrashes(full.messages_since(0, now)),
    );
    let suspects = Suspects::new(&SharedParts::default(), Some(7), 1);
    time("verdict on a request with a full table", |_| {
        black_box(full.verdict(&suspects, now));
    });
    time("merge a crash under a request into a full table", |n| {
        black_box(full.merge(vec![against(u64::from(n), 1)], now));
    });
    let mut exposures = Exposures::default();
    time("begin and end a request of a plain service", |n| {
        let now = Duration::from_millis(u64::from(n) * 43);
        let exposure = exposures.begin("i-0123456789", 1, ExposedRequest::default());
        exposures.end(exposure, ExposureEnd::Served, None, now);
    });
}

fn measure_fingerprints() {
    let parts: SharedParts = [1, 2].into_iter().collect();
    for bytes in [0, 600, 1_700, 14_000, 100_000, 4 << 20] {
        let body = vec![b'x'; bytes];
        time(&format!("fingerprint of a body of {bytes} bytes"), |_| {
            let identity = RequestIdentity {
                method: "POST",
                host: b"shop.example",
                path: "/order/2f",
                caller_headers: vec![("authorization", b"Bearer 0123456789abcdef")],
                shared_parts: &parts,
                body: &body,
            };
            black_box(identity.fingerprint());
        });
    }
}

fn measure_slots() {
    let Some(rate) = RequestRate::from_per_s(10.0) else {
        return;
    };
    let request = SharedRequest::TakeSlot {
        endpoint: "i-0123456789".to_owned(),
        rate,
        wait_max_ms: 0,
    };
    print_size("message that asks for a slot", &request);
    let mut slots = SendSlots::default();
    time("take a slot", |n| {
        let now = Duration::from_millis(u64::from(n) * 43);
        black_box(slots.take("i-0123456789", rate, Duration::ZERO, now));
    });
}
