//! How a response body ends, by the head of its response.

use http::{
    HeaderMap, Method, Response, StatusCode,
    header::{CONTENT_LENGTH, TRANSFER_ENCODING},
};

/// Whether the end of a response body shows that the body is complete.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyEnd {
    /// A length or a last chunk marks the end, so that a body that is cut off fails to be read.
    Proven,
    /// The body ends with its connection, whether it is complete or not.
    Unproven,
}

impl BodyEnd {
    /// Returns how the body of the response to a request with this method ends.
    ///
    /// ```
    /// use http::{HeaderMap, Method, StatusCode};
    /// use skylarkpick_http::BodyEnd;
    /// let end = BodyEnd::of_response(&Method::GET, StatusCode::OK, &HeaderMap::new());
    /// assert_eq!(end, BodyEnd::Unproven);
    /// ```
    pub fn of_response(method: &Method, status: StatusCode, headers: &HeaderMap) -> BodyEnd {
        let is_without_body = method == Method::HEAD
            || status.is_informational()
            || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        let is_delimited = match headers.get_all(TRANSFER_ENCODING).iter().next_back() {
            Some(codings) => is_chunked(codings.as_bytes()),
            None => headers.contains_key(CONTENT_LENGTH),
        };
        if is_without_body || is_delimited { BodyEnd::Proven } else { BodyEnd::Unproven }
    }

    /// Returns how the body of a response ended that was read to its end. Not for responses to HEAD.
    ///
    /// ```
    /// use skylarkpick_http::BodyEnd;
    /// let response = http::Response::builder().header("content-length", 4).body("text")?;
    /// assert_eq!(BodyEnd::of_buffered(&response), BodyEnd::Proven);
    /// # Ok::<(), http::Error>(())
    /// ```
    pub fn of_buffered<B>(response: &Response<B>) -> BodyEnd {
        BodyEnd::of_response(&Method::GET, response.status(), response.headers())
    }

    /// Returns the value for logs.
    ///
    /// ```
    /// assert_eq!(skylarkpick_http::BodyEnd::Unproven.name(), "unproven");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            BodyEnd::Proven => "proven",
            BodyEnd::Unproven => "unproven",
        }
    }
}

/// Returns whether the last of the codings is `chunked`; only then does the body have a last chunk.
fn is_chunked(codings: &[u8]) -> bool {
    let last = codings.rsplit(|byte| *byte == b',').next().unwrap_or_default();
    last.trim_ascii().eq_ignore_ascii_case(b"chunked")
}
