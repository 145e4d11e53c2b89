//! Which part of a sum of loads is the router's own.

use std::collections::VecDeque;
use std::net::SocketAddr;

use dw_base::TimeMs;
use dw_base::Tokens;

/// States that are remembered; a relay has the last of them within a few pauses.
const REMEMBERED: usize = 32;

/// What a router has told of its outstanding tokens.
#[derive(Clone, Debug, Default)]
pub struct SentLoads {
    told: VecDeque<(TimeMs, Vec<(SocketAddr, Tokens)>)>,
}

impl SentLoads {
    /// Remembers what was told at a stamp.
    pub fn record(&mut self, stamp: TimeMs, outstanding: Vec<(SocketAddr, Tokens)>) {
        if self.told.len() == REMEMBERED {
            self.told.pop_front();
        }
        self.told.push_back((stamp, outstanding));
    }

    /// Returns the own part of a sum whose last own state has this stamp.
    pub fn own_tokens(&self, stamp: Option<TimeMs>, engine: SocketAddr) -> Tokens {
        let mut told = self.told.iter().rev();
        let state = told.find(|(at, _)| Some(*at) == stamp);
        let own = state.and_then(|(_, all)| all.iter().find(|(addr, _)| *addr == engine));
        own.map_or(Tokens(0), |(_, tokens)| *tokens)
    }
}
