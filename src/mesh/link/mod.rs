//! Links between daemons: one TCP connection to each peer carries many calls at once.
//!
//! A frame is a length, a head that is encoded with postcard and, for calls and responses, the
//! unencoded body. Framing comes from tokio-util. See `docs/design/platform.md`.

mod frame;
mod header_codec;
mod segments;
mod socket;
mod stream;
mod traffic;

pub use frame::decode_frame;
pub use frame::encode_frame;
pub use frame::CallOrigin;
pub use frame::EncodedFrame;
pub use frame::LinkFrame;
pub use frame::LinkHello;
pub use frame::RefusalCause;
pub use frame::ResponseHead;
pub use frame::SubmitHead;
pub use header_codec::HeaderCodec;
pub use header_codec::HeaderKey;
pub use header_codec::HeaderPairs;
pub use segments::LinkMessage;
pub use segments::SegmentQueue;
pub use segments::SegmentTable;
pub use segments::SEGMENT_BYTES;
pub use socket::configure_stream;
pub use socket::listen;
pub use stream::open_link;
pub use stream::LinkReader;
pub use stream::LinkSender;
pub use traffic::LinkTraffic;
pub use traffic::TrafficCause;
