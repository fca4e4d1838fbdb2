//! Generates, extracts and strips the API keys of callers.
//!
//! Keys are issued by `marigoldhatch key grant` and have a fixed prefix and alphabet, so that one
//! can be found anywhere in a request before it reaches an endpoint.

use hyper::header::HeaderMap;
use hyper::header::HeaderName;
use hyper::header::AUTHORIZATION;
use hyper::header::COOKIE;
use hyper::header::PROXY_AUTHORIZATION;
use memchr::memmem;
use percent_encoding::percent_decode;
use rand::Rng;

/// Prefix of every key.
const KEY_PREFIX: &str = "mhk_";
/// Number of characters after the prefix.
const KEY_LENGTH: usize = 40;
const KEY_ALPHABET: &[u8; 32] = b"abcdefghijklmnopqrstuvwxyz234567";

const API_KEY_HEADER: HeaderName = HeaderName::from_static("x-api-key");
/// Query parameters that may carry a key.
const KEY_PARAMETERS: [&str; 3] = ["api_key", "access_token", "key"];

/// Reason why a request has no usable credential.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CredentialError {
    /// The request has no credential.
    Missing,
    /// The request has several credentials.
    Duplicate,
}

/// Generates a random key.
pub fn new_key(rng: &mut impl Rng) -> String {
    let mut key = String::with_capacity(KEY_PREFIX.len() + KEY_LENGTH);
    key.push_str(KEY_PREFIX);
    for _ in 0..KEY_LENGTH {
        let character = KEY_ALPHABET[rng.random_range(0..KEY_ALPHABET.len())];
        key.push(char::from(character));
    }
    key
}

/// Returns the hash that stands for a key everywhere except at its caller.
pub fn hash_key(key: &str) -> String {
    blake3::hash(key.as_bytes()).to_hex().to_string()
}

/// Returns the only credential of a request, from its headers or query parameters.
///
/// # Errors
///
/// Fails if the request has no credential or more than one.
pub fn find_caller_key(
    headers: &HeaderMap,
    query: Option<&str>,
) -> Result<String, CredentialError> {
    let from_headers = headers.iter().filter_map(|(name, value)| {
        let text = value.to_str().ok()?;
        match name {
            name if *name == AUTHORIZATION => Some(bearer_token(text)),
            name if *name == API_KEY_HEADER => Some(text.trim().to_string()),
            _ => None,
        }
    });
    let from_query = query_pairs(query)
        .filter(|(name, _)| KEY_PARAMETERS.contains(name))
        .map(|(_, value)| decode_value(value));
    let mut found = from_headers.chain(from_query);
    let first = found.next().ok_or(CredentialError::Missing)?;
    match found.next() {
        None => Ok(first),
        Some(_) => Err(CredentialError::Duplicate),
    }
}

/// Removes every credential from the headers and returns the query without them.
pub fn strip_credentials(headers: &mut HeaderMap, query: Option<&str>) -> Option<String> {
    headers.remove(AUTHORIZATION);
    headers.remove(PROXY_AUTHORIZATION);
    headers.remove(API_KEY_HEADER);
    let leaking: Vec<HeaderName> = headers
        .iter()
        .filter(|(_, value)| contains_key(value.as_bytes()))
        .map(|(name, _)| name.clone())
        .collect();
    for name in leaking {
        headers.remove(name);
    }
    if headers.get_all(COOKIE).iter().any(|value| value.is_empty()) {
        headers.remove(COOKIE);
    }
    let kept: Vec<&str> = query?
        .split('&')
        .filter(|pair| !KEY_PARAMETERS.contains(&pair.split('=').next().unwrap_or("")))
        .filter(|pair| !contains_key(pair.as_bytes()))
        .collect();
    (!kept.is_empty()).then(|| kept.join("&"))
}

/// Returns true if the bytes contain a key, plain or percent-encoded.
pub fn contains_key(bytes: &[u8]) -> bool {
    if contains_unencoded_key(bytes) {
        return true;
    }
    memchr::memchr(b'%', bytes).is_some() && contains_unencoded_key(&decode_repeatedly(bytes))
}

fn contains_unencoded_key(bytes: &[u8]) -> bool {
    memmem::find_iter(bytes, KEY_PREFIX).any(|position| {
        let rest = &bytes[position + KEY_PREFIX.len()..];
        let characters = rest.iter().take(KEY_LENGTH);
        characters
            .filter(|character| KEY_ALPHABET.contains(character))
            .count()
            == KEY_LENGTH
    })
}

/// Decodes percent-encoding up to three times, because an endpoint may decode more than once.
fn decode_repeatedly(bytes: &[u8]) -> Vec<u8> {
    let mut text = bytes.to_vec();
    for _ in 0..3 {
        let decoded: Vec<u8> = percent_decode(&text).collect();
        if decoded == text {
            break;
        }
        text = decoded;
    }
    text
}

fn bearer_token(text: &str) -> String {
    let token = text
        .split_once(' ')
        .filter(|(scheme, _)| scheme.eq_ignore_ascii_case("bearer"))
        .map_or(text, |(_, token)| token);
    token.trim().to_string()
}

fn query_pairs(query: Option<&str>) -> impl Iterator<Item = (&str, &str)> {
    query
        .unwrap_or("")
        .split('&')
        .filter_map(|pair| pair.split_once('='))
}

fn decode_value(value: &str) -> String {
    percent_decode(value.as_bytes())
        .decode_utf8_lossy()
        .into_owned()
}
