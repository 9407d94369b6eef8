//! The link to another node: its connection, and what its answers mean.

use crate::{
    Token,
    rpc::{Channel, ChannelError},
};
use quick_error::quick_error;
use radishpin_protocol::{
    ClusterView, RowError,
    prelude::*,
    wire::{FetchViewReply, FetchViewRequest, peer_client::PeerClient},
};
use radishpin_runtime::{Runtime, timeout};
use std::{error::Error, io, net::SocketAddr};
use tonic::Status;

/// Time after which a peer counts as not answering.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest message from a peer.
const MESSAGE_BYTES_MAX: usize = 64 * 1024 * 1024;

quick_error! {
    /// Why a peer told nothing.
    #[derive(Debug)]
    #[allow(missing_docs)]
    pub enum PeerError {
        /// Its host refuses connections: no node runs there.
        ConnectionRefused {
            display("no node listens there")
        }
        /// It may run, cut off or too slow.
        TimedOut {
            display("no answer in time")
        }
        /// The call failed.
        Failed(cause: Box<Status>) {
            display("the call failed: {cause}")
            source(&**cause)
        }
        /// Its view cannot be read here.
        Row(cause: RowError) {
            display("a row of its view cannot be read: {cause}")
            source(cause)
            from()
        }
    }
}

/// The link to one other node; it connects at its first call.
#[derive(Debug)]
pub(in crate::node) struct PeerLink {
    address: SocketAddr,
    client: PeerClient<Channel>,
}

impl PeerLink {
    /// A link to the node whose peers reach it at `address`.
    pub(in crate::node) fn new(runtime: Runtime, address: SocketAddr, token: &Token) -> Self {
        let channel = Channel::new(runtime, address, token);
        let client = PeerClient::new(channel).max_decoding_message_size(MESSAGE_BYTES_MAX);
        Self { address, client }
    }

    /// Address of the peer.
    pub(in crate::node) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Asks for the version in force, without rows.
    ///
    /// # Errors
    /// The peer is down, or did not answer.
    pub(in crate::node) async fn fetch_versions(&self) -> Result<FetchViewReply, PeerError> {
        self.fetch(Version::MAX).await
    }

    /// Asks for the view in force.
    ///
    /// # Errors
    /// The peer is down, did not answer, or has rows that cannot be read here.
    pub(in crate::node) async fn fetch_view(&self) -> Result<ClusterView, PeerError> {
        let reply = self.fetch(0).await?;
        let mut view = ClusterView {
            version: reply.version,
            ..ClusterView::default()
        };
        for row in reply.rows {
            view.apply_row(&row.key, row.version, Some(&row.value))?;
        }
        Ok(view)
    }

    async fn fetch(&self, known_version: Version) -> Result<FetchViewReply, PeerError> {
        let request = FetchViewRequest { known_version };
        let mut client = self.client.clone();
        let reply = timeout(ANSWER_TIMEOUT, client.fetch_view(request)).await;
        match reply {
            Some(Ok(reply)) => Ok(reply.into_inner()),
            Some(Err(status)) if is_refused(&status) => Err(PeerError::ConnectionRefused),
            Some(Err(status)) => Err(PeerError::Failed(Box::new(status))),
            None => Err(PeerError::TimedOut),
        }
    }
}

/// Whether the host itself said that nothing listens at the address.
fn is_refused(status: &Status) -> bool {
    let mut source = status.source();
    while let Some(cause) = source {
        if let Some(ChannelError::Connect(cause)) = cause.downcast_ref::<ChannelError>() {
            return cause.kind() == io::ErrorKind::ConnectionRefused;
        }
        source = cause.source();
    }
    false
}
