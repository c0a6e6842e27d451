//! Client of the operators' interface.

use crate::token::bearer_header;
use jsonrpsee::http_client::{HeaderMap, HeaderValue, HttpClient, HttpClientBuilder};
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// Why a client can't be created.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum CreateClientError {
    /// The token can't be sent in a header.
    #[error("the token has characters that a header can't carry")]
    Token,
    /// The HTTP client rejects the address.
    #[error("no client for {address}: {source}")]
    Address {
        /// The address.
        address: SocketAddr,
        /// Cause of the error.
        source: jsonrpsee::core::ClientError,
    },
}

/// Creates a client of the instance at `address`. Each call fails after `timeout`.
///
/// # Errors
/// When the token can't be sent in a header, or the HTTP client rejects the address.
pub fn client(
    address: SocketAddr,
    token: &str,
    timeout: Duration,
) -> Result<HttpClient, CreateClientError> {
    HttpClientBuilder::default()
        .request_timeout(timeout)
        .set_headers(headers(token)?)
        .build(format!("http://{address}"))
        .map_err(|source| CreateClientError::Address { address, source })
}

fn headers(token: &str) -> Result<HeaderMap, CreateClientError> {
    let value = HeaderValue::from_str(&bearer_header(token));
    let mut value = value.map_err(|_has_no_details| CreateClientError::Token)?;
    value.set_sensitive(true);
    let mut headers = HeaderMap::new();
    headers.insert("authorization", value);
    Ok(headers)
}
