//! Tests of which ends of response bodies are proven by the head of the response.

use http::{HeaderMap, HeaderName, Method, StatusCode};
use skylarkpick_http::BodyEnd;

#[test]
fn only_a_length_or_a_last_chunk_proves_the_end_of_a_body() {
    struct Case {
        name: &'static str,
        method: Method,
        status: StatusCode,
        headers: &'static [(&'static str, &'static str)],
        end: BodyEnd,
    }
    let case = |name, headers, end| Case {
        name,
        method: Method::POST,
        status: StatusCode::OK,
        headers,
        end,
    };
    let cases = [
        case("a length", &[("content-length", "5")], BodyEnd::Proven),
        case("chunks", &[("transfer-encoding", "chunked")], BodyEnd::Proven),
        case("chunks in capitals", &[("transfer-encoding", "Chunked")], BodyEnd::Proven),
        case("chunks last", &[("transfer-encoding", "gzip, chunked")], BodyEnd::Proven),
        case(
            "chunks in a second line",
            &[("transfer-encoding", "gzip"), ("transfer-encoding", "chunked")],
            BodyEnd::Proven,
        ),
        case("neither", &[], BodyEnd::Unproven),
        case("a closed connection", &[("connection", "close")], BodyEnd::Unproven),
        case("another coding", &[("transfer-encoding", "identity")], BodyEnd::Unproven),
        case(
            "another coding beside a length",
            &[("transfer-encoding", "gzip"), ("content-length", "5")],
            BodyEnd::Unproven,
        ),
        Case {
            status: StatusCode::INTERNAL_SERVER_ERROR,
            ..case("an error without a length", &[], BodyEnd::Unproven)
        },
        Case { status: StatusCode::NO_CONTENT, ..case("no content", &[], BodyEnd::Proven) },
        Case { status: StatusCode::NOT_MODIFIED, ..case("not modified", &[], BodyEnd::Proven) },
        Case { method: Method::HEAD, ..case("a head only", &[], BodyEnd::Proven) },
    ];
    for case in cases {
        let mut headers = HeaderMap::new();
        for (name, value) in case.headers {
            headers.append(HeaderName::from_static(name), value.parse().unwrap());
        }
        let end = BodyEnd::of_response(&case.method, case.status, &headers);
        assert_eq!(end, case.end, "{}", case.name);
    }
}
