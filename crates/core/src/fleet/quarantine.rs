//! Requests under which engines end.
//!
//! [`mark`] says when two requests are the same.

pub mod mark;

pub use mark::{MarkedRequest, RequestMark, shown_mark};
