//! Analysis of the hosts' structured logs.
//!
//! [`mod@line`] parses lines, [`cause`] classifies why a request ended as it did, [`decision`] names the decision that
//! refused it, [`resume`] why a stream was not resumed, [`explain`] reports on one request,
//! and [`losses`] counts requests by cause.

mod cause;
mod decision;
pub(crate) mod explain;
mod line;
pub(crate) mod losses;
mod resume;
