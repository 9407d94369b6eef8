//! RPC client for another node (peer).

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

/// Timeout of a call to a peer, including the connection.
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest message accepted from a peer; a view with all its rows must fit.
const MESSAGE_BYTES_MAX: usize = 64 * 1024 * 1024;

quick_error! {
    /// Why a view or its version could not be fetched from a peer.
    #[derive(Debug)]
    #[allow(missing_docs)]
    pub enum PeerError {
        /// The host refused the connection: no node is running there.
        ConnectionRefused {
            display("connection refused: no node is listening at the address")
        }
        /// No reply in time: the peer may be running, but slow or unreachable.
        TimedOut {
            display("no reply before the timeout")
        }
        /// The call failed for another reason, such as a rejected token.
        Failed(cause: Box<Status>) {
            display("RPC failed: {cause}")
            source(&**cause)
        }
        /// A row of the peer's view could not be parsed.
        Row(cause: RowError) {
            display("cannot parse a row of the peer's view: {cause}")
            source(cause)
            from()
        }
    }
}

/// Client for one other node; connects at the first call.
#[derive(Debug)]
pub(in crate::node) struct PeerLink {
    address: SocketAddr,
    client: PeerClient<Channel>,
}

impl PeerLink {
    /// Creates a client for the node that listens for peers at `address`.
    pub(in crate::node) fn new(runtime: Runtime, address: SocketAddr, token: &Token) -> Self {
        let channel = Channel::new(runtime, address, token);
        let client = PeerClient::new(channel).max_decoding_message_size(MESSAGE_BYTES_MAX);
        Self { address, client }
    }

    /// Address that the peer listens on for other nodes.
    pub(in crate::node) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Fetches the version of the peer's view and the newest version that agents reported to the
    /// peer, without rows.
    ///
    /// # Errors
    /// The connection is refused, or the call fails or times out.
    pub(in crate::node) async fn fetch_versions(&self) -> Result<FetchViewReply, PeerError> {
        self.fetch(Version::MAX).await
    }

    /// Fetches the peer's view.
    ///
    /// # Errors
    /// The connection is refused, the call fails or times out, or a row cannot be parsed.
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
        let reply = timeout(REPLY_TIMEOUT, client.fetch_view(request)).await;
        match reply {
            Some(Ok(reply)) => Ok(reply.into_inner()),
            Some(Err(status)) if is_connection_refused(&status) => {
                Err(PeerError::ConnectionRefused)
            }
            Some(Err(status)) => Err(PeerError::Failed(Box::new(status))),
            None => Err(PeerError::TimedOut),
        }
    }
}

/// Whether the host refused the connection, so that no process listens at the address.
fn is_connection_refused(status: &Status) -> bool {
    let mut source = status.source();
    while let Some(cause) = source {
        if let Some(ChannelError::Connect(cause)) = cause.downcast_ref::<ChannelError>() {
            return cause.kind() == io::ErrorKind::ConnectionRefused;
        }
        source = cause.source();
    }
    false
}
