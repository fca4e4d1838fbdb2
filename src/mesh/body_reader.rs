//! Reads bodies of requests and responses into memory, within a size limit and the body budget.

use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Bytes;
use thiserror::Error;

use super::body_budget::BodyBudget;

/// Errors of reading a body.
#[derive(Debug, Error)]
pub enum BodyError {
    #[error("the body is larger than {0} bytes")]
    TooLarge(usize),
    #[error("the daemon already holds {0} bytes of bodies")]
    NoMemory(usize),
    #[error("the body ended early: {0}")]
    Incomplete(String),
}

/// Reads a whole body.
///
/// # Errors
///
/// Returns an error if the body exceeds `limit` bytes, does not fit into the budget or ends early.
/// A body that announces its length is checked before any of it is read.
pub async fn read_body<B>(body: B, limit: usize, budget: &BodyBudget) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: std::fmt::Display,
{
    let announced = body.size_hint().lower() as usize;
    if announced > limit {
        return Err(BodyError::TooLarge(limit));
    }
    let mut reservation = budget.start();
    if !reservation.grow_to(announced) {
        return Err(BodyError::NoMemory(budget.held()));
    }
    let mut body = body;
    let mut first = Bytes::new();
    let mut joined: Vec<u8> = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| BodyError::Incomplete(error.to_string()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let size = first.len() + joined.len() + data.len();
        if size > limit {
            return Err(BodyError::TooLarge(limit));
        }
        if !reservation.grow_to(size) {
            return Err(BodyError::NoMemory(budget.held()));
        }
        // A body that arrives in one piece is not copied.
        if first.is_empty() && joined.is_empty() {
            first = data;
            continue;
        }
        if joined.is_empty() {
            joined.reserve(announced.max(size));
            joined.extend_from_slice(&first);
            first = Bytes::new();
        }
        joined.extend_from_slice(&data);
    }
    let bytes = if joined.is_empty() {
        first
    } else {
        Bytes::from(joined)
    };
    Ok(reservation.attach(bytes))
}
