//! What a daemon shows of its state beside the counters of requests.

use std::fmt::Write;

use super::super::state::MeshState;

impl MeshState {
    /// All metrics in the text exposition format.
    pub fn render_metrics(&self) -> String {
        let mut text = self.metrics.render();
        let proof = self.proof_age().map_or(-1.0, |age| age.as_secs_f64());
        let figures = [
            ("config_version", self.config_version() as f64),
            ("config_proof_age_seconds", proof),
            ("endpoint_in_hand", f64::from(self.executor.in_hand())),
            ("endpoint_running", f64::from(self.executor.running())),
            ("open_requests", f64::from(self.open_requests())),
            ("linked_daemons", self.daemons() as f64),
        ];
        for (name, value) in figures {
            // Writing to a string can't fail.
            let _ = writeln!(text, "marigoldhatch_{name} {value}");
        }
        for (class, share) in self.gate.borrow().shares() {
            let (route, rank) = (class.route, class.rank);
            let _ = writeln!(
                text,
                "marigoldhatch_class_share{{route=\"{route}\",rank=\"{rank}\"}} {share}"
            );
        }
        for peer in self.peers() {
            let address = peer.address;
            let (linked, load) = (u8::from(peer.sender().is_some()), peer.load());
            let _ = writeln!(
                text,
                "marigoldhatch_peer_linked{{peer=\"{address}\"}} {linked}"
            );
            let _ = writeln!(
                text,
                "marigoldhatch_peer_in_hand{{peer=\"{address}\"}} {load}"
            );
        }
        text
    }
}
