//! Numbered log events; the catalogue is `docs/LOG-EVENTS.md`.

macro_rules! log_events {
    ($($name:ident = $number:literal, $text:literal;)*) => {
        /// Identifies the kind of a log line; every line carries its number in the `event` field.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        #[repr(u16)]
        pub enum LogEvent {
            $(#[doc = $text] $name = $number,)*
        }

        impl LogEvent {
            /// All events, in the order of the catalogue.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Returns the sentence that describes the event in the catalogue.
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
    DaemonStopping = 1002, "The daemon refuses new work and finishes the calls that are running.";
    DaemonStopped = 1003, "The daemon has stopped.";
    LinesDropped = 1004, "Log lines were dropped because the writer fell behind.";
    SettingsReloaded = 1005, "The settings file was reloaded.";
    SettingsBad = 1006, "The changed settings are invalid; the daemon keeps the previous ones.";
    VmSuspended = 1007, "The VM was suspended; open requests keep their deadlines.";
    EndpointAnnounced = 1101, "The endpoint on this VM announced itself or changed its announcement.";
    EndpointSilent = 1102, "The endpoint on this VM stopped announcing itself.";
    EndpointLimited = 1103, "The endpoint on this VM named or withdrew a limit of requests per second.";
    EndpointLeaving = 1104, "The endpoint on this VM said in a response that it leaves.";
    EndpointChecked = 1105, "The endpoint on this VM, which is older than the daemon, was asked whether it leaves.";
    EvacuationBegan = 1110, "A failure domain is evacuated: this daemon sends nothing to the endpoints there.";
    EvacuationEnded = 1111, "The evacuation of a failure domain was taken back.";
    ColdBegan = 1120, "The endpoint on this VM is taken for cold and gets requests at its cold rate.";
    ColdEnded = 1121, "The endpoint on this VM is no longer taken for cold.";
    ColdSuspected = 1122, "The endpoint on this VM may be cold, as it may have started anew unnoticed.";
    ColdChecked = 1123, "The endpoint on this VM, which may be cold, was asked whether it is.";
    FailureShareChanged = 1140, "The reported share of failures of the endpoint on this VM changed.";
    EndpointSetAside = 1141, "An endpoint that fails far more calls than the others of its service was set aside.";
    EndpointTakenBack = 1142, "An endpoint that was set aside gets calls again.";
    CallPlaced = 2001, "An endpoint was chosen for a call.";
    CallOwned = 2002, "The owner of a non-idempotent request was looked up.";
    CallRefused = 2003, "A request was refused.";
    CallRetried = 2004, "A call is retried.";
    CallUnknown = 2005, "The outcome of a request is unknown.";
    WorkAdmitted = 2101, "The executor runs a call.";
    WorkQueued = 2102, "The executor queues a call.";
    WorkRefused = 2103, "The executor refuses a call.";
    WorkJoined = 2104, "A repeated request was answered from the deduplication table or joined the running one.";
    SharesDealt = 2301, "Not all requests are admitted; the line shows the capacity behind an admission share.";
    ConnectionSilent = 2201, "A connection timed out and was closed together with the older ones to the same peer.";
    CallerBroken = 2202, "A caller's connection failed or did not carry valid HTTP.";
    LogUnreadable = 3001, "The platform's log can't be read; the daemon keeps its last known state.";
    LogReadable = 3002, "The platform's log can be read again.";
    LogRecordBad = 3003, "A log record could not be parsed and was skipped.";
    ReaderChanged = 3004, "The daemon starts or stops reading the platform's log for the fleet.";
    ConfigInForce = 3101, "A version of a team's configuration is in force on this daemon.";
    ConfigLost = 3102, "A change was rejected because another one based on the same version came first.";
    ConfigRestated = 3103, "State in force was appended to the log again before its record expired.";
    KeyGranted = 3201, "A key is in force on this daemon.";
    KeyWithdrawn = 3202, "A key was withdrawn on this daemon.";
    CutOffBegan = 3203, "The daemon is cut off and refuses requests that need a key.";
    CutOffEnded = 3204, "The daemon is no longer cut off.";
    MemberChanged = 4001, "The daemon changed its view of a member's state.";
    PeerUnreachable = 4002, "A peer did not answer a control message.";
    PeerRejected = 4003, "A control message was rejected because its sender is not a daemon of this fleet.";
    StatePulled = 4004, "State was fetched from a peer.";
    EpochInForce = 5001, "An ownership epoch is in force on this daemon.";
    EpochProposed = 5002, "This daemon proposes an ownership epoch.";
    EpochBlocked = 5003, "An ownership epoch can't be closed because too few witnesses respond.";
}

impl LogEvent {
    /// Returns the number that the catalogue and the log lines show.
    pub fn number(self) -> u16 {
        self as u16
    }
}
