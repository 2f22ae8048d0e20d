//! What hosts' structured log lines say: of one request, and of all that were not served.
//!
//! [`mod@line`] reads lines, [`cause`] names why a request ended as it did, [`explain`] puts together what
//! all hosts say of one request, and [`losses`] counts causes.

mod cause;
pub(crate) mod explain;
mod line;
pub(crate) mod losses;
