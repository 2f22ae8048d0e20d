//! Marks: digests that identify equal requests on all hosts.

use std::fmt::Write as _;

/// The digest of a request, equal for equal requests of one organisation on every host.
///
/// It is collision resistant, so that no client can get another's requests quarantined.
pub type RequestMark = u128;

/// The bytes of a mark that logs show.
const SHOWN_BYTES: usize = 8;

/// The parts of a request that its mark covers.
///
/// The version of the weights is left out: it may change every second, and each new version would cost further
/// engines.
#[derive(Debug, Clone, Copy)]
pub struct RequestIdentity<'request> {
    /// The organisation that sends it, if keys identify one.
    pub organisation: Option<&'request str>,
    /// The method.
    pub method: &'request str,
    /// The host name that it addresses.
    pub host: &'request str,
    /// The path with its query.
    pub target: &'request str,
    /// The base model or adapter that it requests.
    pub model: Option<&'request str>,
    /// The whole body.
    pub body: &'request [u8],
}

impl RequestIdentity<'_> {
    /// Returns the digest of the request.
    ///
    /// ```
    /// use reelreel_core::fleet::quarantine::RequestIdentity;
    ///
    /// let one = RequestIdentity {
    ///     organisation: Some("north"),
    ///     method: "POST",
    ///     host: "site.example",
    ///     target: "/a/",
    ///     model: None,
    ///     body: b"a body",
    /// };
    /// assert_eq!(one.mark(), one.mark());
    /// assert_ne!(one.mark(), RequestIdentity { organisation: Some("south"), ..one }.mark());
    /// ```
    pub fn mark(&self) -> RequestMark {
        let mut hasher = blake3::Hasher::new();
        // An absent part differs from an empty one, and lengths keep adjacent parts apart.
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

/// Formats a mark for logs, without revealing the request.
pub fn format_mark(mark: RequestMark) -> String {
    let mut text = String::with_capacity(2 * SHOWN_BYTES);
    for byte in &mark.to_le_bytes()[..SHOWN_BYTES] {
        // Writing to a string cannot fail.
        let _ = write!(text, "{byte:02x}");
    }
    text
}
