//! Analysis of the hosts' structured logs.
//!
//! [`mod@line`] parses lines, [`cause`] classifies why a request ended as it did, [`decision`] names the decision that
//! refused it, [`engine_end`] summarizes the end of its engine, [`resume`] why a stream was not resumed, [`explain`]
//! reports on one request, and [`losses`] counts requests by cause.

mod cause;
mod decision;
mod engine_end;
pub(crate) mod explain;
mod line;
pub(crate) mod losses;
mod resume;
