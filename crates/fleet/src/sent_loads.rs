//! Finds a router's own share of the summed loads.

use std::collections::VecDeque;
use std::net::SocketAddr;

use dw_base::TimeMs;
use dw_base::Tokens;

/// Number of states kept. Sums lag by a few announcement intervals, which this number covers.
const MAX_STATES: usize = 32;

/// Outstanding tokens that a router has recently announced.
#[derive(Clone, Debug, Default)]
pub struct SentLoads {
    states: VecDeque<(TimeMs, Vec<(SocketAddr, Tokens)>)>,
}

impl SentLoads {
    /// Records the outstanding tokens that were announced with a stamp.
    pub fn record(&mut self, stamp: TimeMs, outstanding: Vec<(SocketAddr, Tokens)>) {
        if self.states.len() == MAX_STATES {
            self.states.pop_front();
        }
        self.states.push_back((stamp, outstanding));
    }

    /// Returns this router's share of a sum that includes its state with this stamp.
    pub fn own_tokens(&self, stamp: Option<TimeMs>, engine: SocketAddr) -> Tokens {
        let mut states = self.states.iter().rev();
        let state = states.find(|(at, _)| Some(*at) == stamp);
        let own = state.and_then(|(_, all)| all.iter().find(|(addr, _)| *addr == engine));
        own.map_or(Tokens(0), |(_, tokens)| *tokens)
    }
}
