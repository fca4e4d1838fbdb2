//! Numbered result codes; the table is `docs/RESULT-CODES.md`.

mod result;

pub use result::ResultClass;
pub use result::ResultCode;
pub use result::RESULT_HEADER;
