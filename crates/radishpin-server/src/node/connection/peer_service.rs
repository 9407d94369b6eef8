//! RPC service for other nodes, which serves this node's view; every call requires the internal
//! token.

use crate::{node::Node, rpc::require_token};
use radishpin_protocol::{
    ClusterView, StoredRow,
    wire::{FetchViewReply, FetchViewRequest, ViewRow, peer_server},
};
use std::sync::Arc;
use tonic::{Request, Response, Status};

/// Implementation of the `Peer` service.
#[derive(Clone, Debug)]
pub(in crate::node) struct PeerService {
    node: Arc<Node>,
}

impl PeerService {
    /// Creates the service of `node`.
    pub(in crate::node) const fn new(node: Arc<Node>) -> Self {
        Self { node }
    }
}

#[tonic::async_trait]
impl peer_server::Peer for PeerService {
    async fn fetch_view(
        &self,
        request: Request<FetchViewRequest>,
    ) -> Result<Response<FetchViewReply>, Status> {
        require_token(request.metadata(), &self.node.settings.internal_token)?;
        let known_version = request.into_inner().known_version;
        let view = self.node.view();
        let rows = if view.version > known_version {
            wire_rows(&view)?
        } else {
            Vec::new()
        };
        Ok(Response::new(FetchViewReply {
            version: view.version,
            rows,
            node: self.node.settings.name.clone(),
            agents_version: self.node.agents_version(),
        }))
    }
}

// `Status` is large, but tonic requires handlers to return it.
#[allow(clippy::result_large_err)]
fn wire_rows(view: &ClusterView) -> Result<Vec<ViewRow>, Status> {
    let rows = view
        .to_rows()
        .map_err(|cause| Status::internal(cause.to_string()))?;
    Ok(rows.into_iter().map(wire_row).collect())
}

fn wire_row(row: StoredRow) -> ViewRow {
    ViewRow {
        key: row.key,
        version: row.version,
        value: row.value,
    }
}
