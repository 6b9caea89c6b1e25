//! Final steps of a drain, scheduled relative to the kill time.

use super::server::Server;
use crate::runtime::clock;
use puffinladder_trace::recorder::RecorderHandle;

/// Progress of the shutdown.
pub struct Shutdown {
    recording: Option<RecorderHandle>,
    goaway_sent: bool,
    log_closed: bool,
}

impl Shutdown {
    /// Creates a shutdown that seals the trace of `recording` at its end.
    pub fn new(recording: Option<RecorderHandle>) -> Shutdown {
        Shutdown { recording, goaway_sent: false, log_closed: false }
    }

    /// Performs the steps that are due. Returns whether the process should exit.
    pub fn advance(&mut self, server: &Server, kill_time: f64) -> bool {
        let limits = &server.limits;
        let now = clock::now();
        // Requests sent after the goaway arrive on new connections, which are still served.
        if !self.goaway_sent && now > kill_time - limits.goaway_lead {
            self.goaway_sent = true;
            server.connections.announce_shutdown();
        }
        // All answers are sent by now. Connections still open at exit would be reset, which can destroy answers in transit.
        if now > kill_time - limits.close_lead {
            server.connections.close_all(kill_time - limits.close_lead);
        }
        // Closes the trace entries of requests in flight before the kill.
        if self.recording.is_some() && !self.log_closed && now > kill_time - limits.log_close_lead {
            self.log_closed = true;
            server.dispatcher.shut_down();
        }
        let ready = self.log_closed || self.recording.is_none();
        if !ready || now <= kill_time - limits.log_close_lead / 2.0 {
            return false;
        }
        if let Some(recording) = self.recording.take() {
            recording.shutdown(limits.trace_seal_timeout);
        }
        true
    }
}
