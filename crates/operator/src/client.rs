//! The client side of the operators' interface.

use crate::token::bearer;
use jsonrpsee::http_client::{HeaderMap, HeaderValue, HttpClient, HttpClientBuilder};
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// Why a client can't be made.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum ClientError {
    /// The token can't be sent in a header.
    #[error("the token has characters that a header can't carry")]
    Token,
    /// The client refuses its address.
    #[error("no client for {address}: {source}")]
    Address {
        /// The address.
        address: SocketAddr,
        /// Why.
        source: jsonrpsee::core::ClientError,
    },
}

/// A client of the instance at `address`; each call takes at most `timeout`.
///
/// # Errors
/// When the token can't be sent in a header, or the address is no use.
pub fn client(
    address: SocketAddr,
    token: &str,
    timeout: Duration,
) -> Result<HttpClient, ClientError> {
    HttpClientBuilder::default()
        .request_timeout(timeout)
        .set_headers(headers(token)?)
        .build(format!("http://{address}"))
        .map_err(|source| ClientError::Address { address, source })
}

fn headers(token: &str) -> Result<HeaderMap, ClientError> {
    let value = HeaderValue::from_str(&bearer(token));
    let mut value = value.map_err(|_tells_nothing_more| ClientError::Token)?;
    value.set_sensitive(true);
    let mut headers = HeaderMap::new();
    headers.insert("authorization", value);
    Ok(headers)
}
