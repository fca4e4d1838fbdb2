//! Numbered log events; the catalogue is `docs/LOG-EVENTS.md`.

macro_rules! log_events {
    ($($name:ident = $number:literal, $text:literal;)*) => {
        /// A numbered event; every log line of the daemon carries one in its `event` field.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        #[repr(u16)]
        pub enum LogEvent {
            $(#[doc = $text] $name = $number,)*
        }

        impl LogEvent {
            /// Every event, in the order of the catalogue.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// One sentence for the catalogue.
            pub fn text(self) -> &'static str {
                match self {
                    $(Self::$name => $text,)*
                }
            }
        }
    };
}

log_events! {
    DaemonStarted = 1001, "The daemon has started.";
    DaemonStopping = 1002, "The daemon refuses new work and finishes what runs.";
    DaemonStopped = 1003, "The daemon has stopped.";
    LinesDropped = 1004, "Log lines were dropped, since the writer fell behind.";
    SettingsReloaded = 1005, "The settings were read again.";
    SettingsBad = 1006, "Changed settings can't be used; the daemon goes on with the old ones.";
    EndpointAnnounced = 1101, "The endpoint on this VM announced itself or changed its announcement.";
    EndpointSilent = 1102, "The endpoint on this VM stopped announcing itself.";
    CallPlaced = 2001, "An endpoint was chosen for a call.";
    CallOwned = 2002, "The owner of a non-idempotent request was looked up.";
    CallRefused = 2003, "A request was refused.";
    CallRetried = 2004, "A call is tried again.";
    CallUnknown = 2005, "The outcome of a request is unknown.";
    WorkAdmitted = 2101, "The executor runs a call.";
    WorkQueued = 2102, "The executor queues a call.";
    WorkRefused = 2103, "The executor refuses a call.";
    WorkJoined = 2104, "A repeat was answered from the journal or joined the run under way.";
    SharesDealt = 2301, "Not all requests may enter; the line says what a share was dealt from.";
    ConnectionSilent = 2201, "A connection gave no answer and was retired with its elders.";
    CallerBroken = 2202, "A connection of a caller broke or sent what is not HTTP.";
    LogUnreadable = 3001, "The platform's log can't be read; the daemon goes on with what it holds.";
    LogReadable = 3002, "The platform's log is read again.";
    LogRecordBad = 3003, "A record of the log was not understood and was passed over.";
    ReaderChanged = 3004, "The daemon begins or ends to read the platform's log for the fleet.";
    ConfigInForce = 3101, "A version of a team's configuration is in force here.";
    ConfigLost = 3102, "A change lost against another that was based on the same version.";
    ConfigRestated = 3103, "State in force was appended again before its record expired.";
    KeyGranted = 3201, "A key is in force here.";
    KeyWithdrawn = 3202, "A key has stopped working here.";
    CutOffBegan = 3203, "The daemon is cut off and refuses requests that need a key.";
    CutOffEnded = 3204, "The daemon is no longer cut off.";
    MemberChanged = 4001, "The belief about a member changed.";
    PeerUnreachable = 4002, "A peer did not answer a control message.";
    PeerRejected = 4003, "A control message did not come from a daemon of this fleet.";
    StatePulled = 4004, "State was taken from a peer.";
    EpochInForce = 5001, "An ownership epoch is in force here.";
    EpochProposed = 5002, "This daemon proposes an ownership epoch.";
    EpochBlocked = 5003, "An ownership epoch can't be closed: too few witnesses answer.";
}

impl LogEvent {
    /// The number, as it stands in the catalogue and on the log line.
    pub fn number(self) -> u16 {
        self as u16
    }
}
