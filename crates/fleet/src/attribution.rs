//! Decides whether a response belongs to the request after which it came.
//!
//! A faulty instance may send an earlier response once more, late, where the response to
//! the next request on the connection is expected. If that copy is a rejection, and it is
//! taken for the response to a call that runs, the call is sent again or its caller is told
//! that it did not run. The id tells a copy from the response unless the call that it belongs
//! to is under way again on the connection. Who sends a call again is not known here: its
//! handling, another request of the same caller, or a proxy.

/// A request and its place on its connection.
#[derive(Clone, Copy, Debug)]
pub struct Exchange<'a> {
    /// Id of the call; empty if it has none.
    pub call: &'a str,
    /// Number of the request on its connection, from 1.
    pub number: u32,
    /// Whether the call failed on the connection before, so that a copy may have its id.
    pub failed_before: bool,
}

/// Which request a response belongs to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Attribution {
    /// To the request after which it came.
    This,
    /// To one of another call.
    Other,
    /// It can't be told.
    Unknown,
}

impl Exchange<'_> {
    /// Attributes a response by the call id in its head, if there is one.
    #[must_use]
    pub fn attribute(&self, response: Option<&str>, is_success: bool) -> Attribution {
        // There is no earlier response on the connection that could be copied.
        let is_first = self.number == 1;
        match response {
            Some(id) if id != self.call => Attribution::Other,
            Some(_) if !self.failed_before => Attribution::This,
            Some(_) => Attribution::Unknown,
            // An instance that has run a call knows its id.
            None if is_success && !self.call.is_empty() => Attribution::Unknown,
            None if is_first => Attribution::This,
            None => Attribution::Unknown,
        }
    }
}
