//! The API behind its listener, over loopback sockets.

use crate::fixture::{Fixture, PROFILE, TOKEN};
use http_types::{Method, Request, Url};
use radishpin_http::{Client, ClientLimits, Server, Shutdown};
use radishpin_runtime::Runtime;
use radishpin_server::operator::operator_limits;
use smol::net::TcpListener;
use std::{net::SocketAddr, sync::Arc};

async fn send(client: &Client, address: SocketAddr, token: &str, body: &[u8]) -> (u16, String) {
    let url = Url::parse(&format!("http://{address}/v1/profiles/slow")).expect("a URL");
    let mut request = Request::new(Method::Put, url);
    request.insert_header("authorization", format!("Bearer {token}"));
    request.set_body(body);
    let mut response = client.send(address, request).await.expect("an answer");
    let body = response.body_string().await.expect("a body");
    (u16::from(response.status()), body)
}

#[test]
fn requests_are_served_over_http() {
    let runtime = Runtime::start(2).unwrap();
    let fixture = Fixture::new();
    smol::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let shutdown = Shutdown::default();
        let server = runtime.spawn(Server::serve(
            runtime.clone(),
            listener,
            Arc::clone(&fixture.api),
            operator_limits(),
            shutdown.clone(),
        ));
        let client = Client::new(ClientLimits::default());
        let valid_body = PROFILE.as_bytes();
        let (wrong, _) = send(&client, address, "not-the-token-at-all", valid_body).await;
        let (large, body) = send(&client, address, TOKEN, &[b' '; 70_000]).await;
        let (created, _) = send(&client, address, TOKEN, valid_body).await;
        assert_eq!((wrong, large, created), (403, 413, 201));
        assert!(body.contains("\"body_too_large\""), "{body}");
        drop(client);
        shutdown.begin();
        server.await.unwrap();
    });
}
