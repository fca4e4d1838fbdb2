//! Counts the bytes that a daemon sends on its links, by cause and by failure domain.

use std::cell::Cell;

/// Length prefix of every frame on a connection.
const LENGTH_PREFIX_BYTES: u64 = 4;

/// Purpose of the bytes that are sent on a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrafficCause {
    Hello,
    Ping,
    Report,
    Demand,
    CallHead,
    CallBody,
    /// Head of a response, or a refusal.
    ReplyHead,
    ReplyBody,
    Config,
}

impl TrafficCause {
    pub const ALL: [Self; 9] = [
        Self::Hello,
        Self::Ping,
        Self::Report,
        Self::Demand,
        Self::CallHead,
        Self::CallBody,
        Self::ReplyHead,
        Self::ReplyBody,
        Self::Config,
    ];

    /// Returns the name of the cause in metrics and log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Hello => "hello",
            Self::Ping => "ping",
            Self::Report => "report",
            Self::Demand => "demand",
            Self::CallHead => "call_head",
            Self::CallBody => "call_body",
            Self::ReplyHead => "reply_head",
            Self::ReplyBody => "reply_body",
            Self::Config => "config",
        }
    }
}

/// Bytes sent on all links of a daemon since its start.
#[derive(Debug, Default)]
pub struct LinkTraffic {
    own_domain: [Cell<u64>; TrafficCause::ALL.len()],
    other_domains: [Cell<u64>; TrafficCause::ALL.len()],
}

impl LinkTraffic {
    /// Counts the head of a frame with its length prefix.
    pub fn record_head(&self, cause: TrafficCause, crosses_domains: bool, bytes: usize) {
        let framed = bytes as u64 + LENGTH_PREFIX_BYTES;
        self.add(cause, crosses_domains, framed);
    }

    /// Counts the body that follows a head.
    pub fn record_body(&self, cause: TrafficCause, crosses_domains: bool, bytes: usize) {
        self.add(cause, crosses_domains, bytes as u64);
    }

    /// Returns the bytes sent for a cause to the own failure domain and to the other ones.
    pub fn sent(&self, cause: TrafficCause) -> (u64, u64) {
        let index = cause as usize;
        (
            self.own_domain[index].get(),
            self.other_domains[index].get(),
        )
    }

    fn add(&self, cause: TrafficCause, crosses_domains: bool, bytes: u64) {
        let counters = if crosses_domains {
            &self.other_domains
        } else {
            &self.own_domain
        };
        let counter = &counters[cause as usize];
        counter.set(counter.get() + bytes);
    }
}
