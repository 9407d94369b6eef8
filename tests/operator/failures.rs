//! The operator API refuses a request, is unreachable, or closes the connection without a response.

use crate::cluster::{Cluster, PROFILE, run};
use std::{
    io::Read,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    thread,
};

#[test]
fn a_wrong_token_is_refused() {
    let cluster = Cluster::start();
    insta::assert_snapshot!(run(cluster.address, "another-token-of-16", "profile list"), @"
    exit 1
    refused: token_wrong (4002): the token is not the operators' token
    Check the token.
    ");
    insta::assert_snapshot!(run(cluster.address, "short", "profile list"), @"
    exit 2
    --token-file (from RADISHPIN_TOKEN): value hidden: 5 characters; a token has 16 to 256
    ");
}

#[test]
fn an_unreachable_node_is_reported_by_address() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let shown = run(address, "0123456789abcdef", "status");
    assert!(
        shown.starts_with("exit 1\nADDRESS: cannot connect: "),
        "{shown}"
    );
    assert!(
        shown.ends_with("check --server and whether the node runs"),
        "{shown}"
    );
}

/// Starts a server that reads one request and closes the connection without a response.
fn start_unresponsive_node() -> (SocketAddr, thread::JoinHandle<()>) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
    let address = listener.local_addr().expect("an address");
    let accept_thread = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let _ = stream.read(&mut [0; 4_096]);
    });
    (address, accept_thread)
}

#[test]
fn a_change_without_a_response_has_an_unknown_outcome() {
    let cluster = Cluster::start();
    let path = cluster.file("slow.json", PROFILE);
    let (address, accept_thread) = start_unresponsive_node();
    let shown = run(
        address,
        "0123456789abcdef",
        &format!("profile set slow {path}"),
    );
    accept_thread.join().unwrap();
    let end = "whether the order was accepted is not known: see `radishpin profile show slow`";
    assert!(shown.starts_with("exit 1\nADDRESS: "), "{shown}");
    assert!(shown.ends_with(end), "{shown}");
}
