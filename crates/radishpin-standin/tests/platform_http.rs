//! The platform over HTTP behaves as it does in memory, with its faults.

#[path = "support/served.rs"]
mod served;

use http_types::Method;
use radishpin_platform::{
    Commit, CommitOutcome, Condition, HttpPlatform, Platform, PlatformError, Write,
};
use radishpin_standin::{MemoryPlatform, Outage};
use served::Served;
use smol::block_on;

const SEED: u64 = 31;

fn serve() -> (MemoryPlatform, HttpPlatform, Served) {
    let memory = MemoryPlatform::new(SEED);
    let serving = memory.clone();
    let served = Served::start(|runtime, listener, shutdown| async move {
        serving.serve(runtime, listener, shutdown).await
    });
    let platform = HttpPlatform::new(served.client.clone(), served.address).expect("a URL");
    (memory, platform, served)
}

fn commit() -> Commit {
    Commit {
        conditions: vec![Condition {
            key: "model/ä b".into(),
            version: 0,
        }],
        writes: vec![Write {
            key: "model/ä b".into(),
            value: Some("{}".into()),
        }],
    }
}

#[test]
fn rows_objects_and_hosts_travel() {
    let (memory, platform, served) = serve();
    block_on(async {
        let committed = platform.commit(&commit()).await;
        assert_eq!(committed, Ok(CommitOutcome::Committed(1)));
        assert_eq!(
            platform.commit(&commit()).await,
            memory.commit(&commit()).await
        );
        assert_eq!(
            platform.get("model/ä b").await,
            memory.get("model/ä b").await
        );
        assert_eq!(
            platform.list("model/", 0).await,
            memory.list("model/", 0).await
        );
        assert_eq!(platform.get_object("call/1").await, Ok(None));
        assert_eq!(platform.put_object("call/1", &[0, 255]).await, Ok(()));
        assert_eq!(platform.get_object("call/1").await, Ok(Some(vec![0, 255])));
    });
    let hosts =
        r#"[{"host":"h1","availability_zone":"gondar","state":"leaving","peer_address":null}]"#;
    assert_eq!(served.ask(Method::Post, "/hosts", hosts).0, 204);
    let hosts = block_on(platform.hosts()).unwrap();
    assert_eq!(hosts[0].host, "h1");
}

#[test]
fn failures_keep_their_meaning() {
    let (memory, platform, served) = serve();
    memory.change_faults(|faults| faults.outage = Outage::Refusing);
    let refused = block_on(platform.get("a"));
    assert_eq!(refused, Err(PlatformError::Unavailable("outage".into())));
    let faults = r#"{"lose_commit_replies":1,"reads_per_second":0}"#;
    assert_eq!(served.ask(Method::Post, "/faults", faults).0, 204);
    let lost = block_on(platform.commit(&commit()));
    assert_eq!(lost, Err(PlatformError::Unknown("reply lost".into())));
    assert_eq!(memory.row("model/ä b").version, 1);
    assert!(block_on(platform.get("a")).is_ok());
    assert_eq!(block_on(platform.get("a")), Err(PlatformError::RateLimited));
    assert_eq!(served.ask(Method::Post, "/faults", r#"{"oops":1}"#).0, 400);
}

#[test]
fn no_listener_means_no_effect() {
    let (_, _, served) = serve();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let platform = HttpPlatform::new(served.client.clone(), address).expect("a URL");
    let refused = block_on(platform.commit(&commit()));
    assert!(matches!(refused, Err(PlatformError::Unavailable(_))));
}
