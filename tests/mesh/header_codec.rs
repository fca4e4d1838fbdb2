//! Headers on links.

use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::HeaderMap;
use marigoldhatch::mesh::link::HeaderCodec;
use marigoldhatch::mesh::link::HeaderKey;
use marigoldhatch_standins::mesh::plain_header_names;

fn headers(pairs: &[(&'static str, &'static str)]) -> HeaderMap {
    let pairs = pairs.iter().map(|(name, value)| {
        let name = HeaderName::from_static(name);
        (name, HeaderValue::from_static(value))
    });
    pairs.collect()
}

#[test]
fn request_headers_arrive_unchanged() {
    let codec = HeaderCodec::from_names(&plain_header_names());
    let sent = headers(&[
        ("host", "h.example"),
        ("x-attempt", "1"),
        ("x-of-the-caller", "kept"),
        ("content-length", "4"),
    ]);
    let pairs = codec.encode_request(&sent);
    assert_eq!(codec.decode(&pairs), sent);
    let names: Vec<&HeaderKey<'_>> = pairs.iter().map(|pair| &pair.0).collect();
    let spelled = names.iter().filter(|key| matches!(key, HeaderKey::Name(_)));
    assert_eq!(spelled.count(), 1, "{names:?}");
}

#[test]
fn response_headers_arrive_without_those_that_the_entry_sets() {
    let codec = HeaderCodec::from_names(&plain_header_names());
    let sent = headers(&[
        ("x-attempt", "1"),
        ("x-seal", "s"),
        ("content-length", "4"),
        ("keep-alive", "timeout=5"),
        ("x-of-the-endpoint", "kept"),
    ]);
    let received = codec.decode(&codec.encode_response(&sent));
    let expected = headers(&[("x-seal", "s"), ("x-of-the-endpoint", "kept")]);
    assert_eq!(received, expected);
}

#[test]
fn unknown_numbers_and_invalid_names_are_skipped() {
    let codec = HeaderCodec::from_names(&plain_header_names());
    let pairs = vec![
        (HeaderKey::Known(250), &b"x"[..]),
        (HeaderKey::Name("not a name"), &b"x"[..]),
        (HeaderKey::Name("fine"), &b"bad\nvalue"[..]),
    ];
    assert!(codec.decode(&pairs).is_empty());
}

#[test]
fn value_after_a_skipped_or_empty_one_is_its_own() {
    let codec = HeaderCodec::from_names(&plain_header_names());
    let pairs = vec![
        (HeaderKey::Name("not a name"), &b"skipped"[..]),
        (HeaderKey::Name("first"), &b"bad\nvalue"[..]),
        (HeaderKey::Name("second"), &b""[..]),
        (HeaderKey::Name("third"), &b"kept"[..]),
        (HeaderKey::Name("third"), &b"kept too"[..]),
    ];
    let mut expected = headers(&[("second", ""), ("third", "kept")]);
    expected.append("third", HeaderValue::from_static("kept too"));
    assert_eq!(codec.decode(&pairs), expected);
}
