//! `radishpin status`.

use crate::cluster::Cluster;

#[test]
fn status_shows_the_view_in_force() {
    let mut cluster = Cluster::start();
    let rows = [
        (
            "endpoint/e1",
            r#"{"host":"h1","availability_zone":"gondar","agent_address":"127.0.0.1:1","service":"drafting","memory_mb":1000,"concurrency":4,"incarnation":3}"#,
        ),
        (
            "model/m1",
            r#"{"service":"drafting","size_mb":300,"replicas":1,"grants":{"e1":{"state":"held","since_version":1}}}"#,
        ),
        ("service/drafting", r#"{"kind":"models","profile":"slow"}"#),
        (
            "stop/s1",
            r#"{"id":"s1","target":{"host":"h1"},"from_unix_ms":4100000000000,"to_unix_ms":4100003600000}"#,
        ),
        ("head", r#"{"operation":"set-up"}"#),
    ];
    for (key, value) in rows {
        cluster.platform.put_row(key, Some(value));
    }
    cluster.poll();
    insta::assert_snapshot!(cluster.run("status"));
    insta::assert_snapshot!(cluster.run("status --json"));
}
