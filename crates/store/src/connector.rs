//! Opens connections to the platform, and bounds what comes on them.

use futures::TryFutureExt as _;
use futures::future::MapOk;
use hyper::Uri;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioIo;
use reedford_transport::{BoundedStream, Progress};
use std::task::{Context, Poll};
use tokio::net::TcpStream;
use tower::Service;

type Io = TokioIo<TcpStream>;

/// Opens connections whose responses have their [`Progress`] among their extensions.
#[derive(Clone, Debug)]
pub(crate) struct Connector(pub(crate) HttpConnector);

impl Service<Uri> for Connector {
    type Response = BoundedStream<Io>;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = MapOk<<HttpConnector as Service<Uri>>::Future, fn(Io) -> Self::Response>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.0.poll_ready(cx)
    }

    fn call(&mut self, req: Uri) -> Self::Future {
        self.0
            .call(req)
            .map_ok(|io| BoundedStream::new(io, Progress::default()))
    }
}
