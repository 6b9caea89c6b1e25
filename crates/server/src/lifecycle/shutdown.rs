//! The last moments of a drain, in steps that count back from the time of the kill.

use super::server::Server;
use puffinladder_trace::recorder::Running;

/// Which steps have been taken, and the recorder that is to be sealed.
pub struct Shutdown {
    recording: Option<Running>,
    goaway_sent: bool,
    log_closed: bool,
}

impl Shutdown {
    /// No step has been taken yet.
    pub fn new(recording: Option<Running>) -> Shutdown {
        Shutdown { recording, goaway_sent: false, log_closed: false }
    }

    /// Takes the steps that are due, and says whether the process is to end.
    pub fn advance(&mut self, server: &Server, kill_time: f64) -> bool {
        let limits = &server.limits;
        let now = server.clock.now();
        // Whoever comes behind the goaway comes on a new connection, and finds this server still answering.
        if !self.goaway_sent && now > kill_time - limits.goaway_lead {
            self.goaway_sent = true;
            server.connections.announce_shutdown();
        }
        // All answers are out by now. What the end of the process cut off would be reset, and answers with it.
        if now > kill_time - limits.close_lead {
            server.connections.close_all(kill_time - limits.close_lead);
        }
        // Where a trace is recorded, log entries are closed, so that none are open at the kill.
        if self.recording.is_some() && !self.log_closed && now > kill_time - limits.log_close_lead {
            self.log_closed = true;
            server.dispatcher.shut_down();
        }
        let ready = self.log_closed || self.recording.is_none();
        if !ready || now <= kill_time - limits.log_close_lead / 2.0 {
            return false;
        }
        if let Some(recording) = self.recording.take() {
            recording.end(limits.trace_seal_timeout);
        }
        true
    }
}
