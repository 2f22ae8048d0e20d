//! By what a request is known again when it comes back, at whichever host.

use std::fmt::Write as _;

/// Tells a request from all others: equal for equal requests of one organisation, on every host.
///
/// It is a digest that nobody can make two bodies for, so that no caller can have another's requests held back.
pub type RequestMark = u128;

/// How many bytes of a mark are shown: enough to tell the requests of a fleet's logs apart.
const SHOWN_BYTES: usize = 8;

/// What makes two requests the same.
///
/// The version of the weights is no part of it: it may be named anew every second, and each name would be as many
/// further engines that end.
#[derive(Debug, Clone, Copy)]
pub struct RequestIdentity<'request> {
    /// The organisation that asks, where keys tell.
    pub organisation: Option<&'request str>,
    /// The method.
    pub method: &'request str,
    /// The host that it names.
    pub host: &'request str,
    /// The path with its query.
    pub target: &'request str,
    /// The base model or adapter that it names.
    pub model: Option<&'request str>,
    /// The whole body.
    pub body: &'request [u8],
}

impl RequestIdentity<'_> {
    /// Digests the request.
    ///
    /// ```
    /// use reelreel_core::fleet::quarantine::MarkedRequest;
    ///
    /// let one = MarkedRequest {
    ///     organisation: Some("north"),
    ///     method: "POST",
    ///     host: "site.example",
    ///     target: "/a/",
    ///     model: None,
    ///     body: b"a body",
    /// };
    /// assert_eq!(one.mark(), one.mark());
    /// assert_ne!(one.mark(), MarkedRequest { organisation: Some("south"), ..one }.mark());
    /// ```
    pub fn mark(&self) -> RequestMark {
        let mut hasher = blake3::Hasher::new();
        // An absent part differs from an empty one, and no part runs into the next.
        for part in [self.organisation, self.model] {
            hasher.update(&[u8::from(part.is_some())]);
            add_part(&mut hasher, part.unwrap_or_default().as_bytes());
        }
        for part in [self.method, self.host, self.target] {
            add_part(&mut hasher, part.as_bytes());
        }
        add_part(&mut hasher, self.body);
        let mut bytes = [0; size_of::<RequestMark>()];
        hasher.finalize_xof().fill(&mut bytes);
        RequestMark::from_le_bytes(bytes)
    }
}

fn add_part(hasher: &mut blake3::Hasher, part: &[u8]) {
    hasher.update(&(part.len() as u64).to_le_bytes());
    hasher.update(part);
}

/// Returns a mark as logs show it, which gives nothing of the request away.
pub fn format_mark(mark: RequestMark) -> String {
    let mut text = String::with_capacity(2 * SHOWN_BYTES);
    for byte in &mark.to_le_bytes()[..SHOWN_BYTES] {
        // Writing to a string can not fail.
        let _ = write!(text, "{byte:02x}");
    }
    text
}
