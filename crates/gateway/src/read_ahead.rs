//! What has been read of an upstream's answer and not yet been passed on.
//!
//! Load pattern: callers read their answers slowly. An upstream cuts an answer that stays unread for some
//! seconds, so the gateway reads on up to a bound.

use std::collections::VecDeque;

use bytes::Bytes;

use crate::memory::Reservation;
use crate::relay::RelayError;

/// Next piece of an upstream's answer.
pub(crate) enum Piece {
    /// Data of the body.
    Data(Bytes),
    /// End of the whole answer.
    End,
    /// End of an answer that is not whole.
    Failed(RelayError),
}

/// Pieces of an answer that wait for the caller.
pub(crate) struct ReadAhead {
    pieces: VecDeque<Piece>,
    bytes: usize,
    max_bytes: usize,
    held: Reservation,
    /// Whether the answer ended with [`Piece::End`].
    has_ended: bool,
    has_failed: bool,
    /// Whether the caller has taken all that the upstream has sent, and waits for more.
    caller_waits: bool,
}

impl ReadAhead {
    /// Creates the buffer of an answer of which `first` has been read.
    pub(crate) fn new(first: Option<Bytes>, max_bytes: usize, held: Reservation) -> Self {
        ReadAhead {
            bytes: first.as_ref().map_or(0, Bytes::len),
            pieces: first.map(Piece::Data).into_iter().collect(),
            max_bytes,
            held,
            has_ended: false,
            has_failed: false,
            caller_waits: false,
        }
    }

    /// Removes the oldest piece.
    pub(crate) fn pop(&mut self) -> Option<Piece> {
        let piece = self.pieces.pop_front()?;
        if let Piece::Data(data) = &piece {
            self.bytes -= data.len();
            if self.held.bytes() > 0 {
                self.held.shrink(data.len() as u64);
            }
        }
        Some(piece)
    }

    /// Adds a piece. No more is read ahead for this answer once there is no memory for a piece.
    pub(crate) fn push(&mut self, piece: Piece) {
        match &piece {
            Piece::Data(data) => {
                self.bytes += data.len();
                if self.held.grow(data.len() as u64).is_err() {
                    self.max_bytes = 0;
                }
            }
            Piece::End => self.has_ended = true,
            Piece::Failed(_) => self.has_failed = true,
        }
        self.pieces.push_back(piece);
    }

    /// Records whether the caller has taken all pieces and waits for the upstream.
    pub(crate) fn set_caller_waits(&mut self, caller_waits: bool) {
        self.caller_waits = caller_waits;
    }

    /// Returns whether more is to be read although the caller does not ask for it.
    pub(crate) fn wants_more(&self) -> bool {
        !self.caller_waits && !self.has_ended && !self.has_failed && self.bytes < self.max_bytes
    }

    /// Returns whether no data and no failure waits for the caller.
    pub(crate) fn is_drained(&self) -> bool {
        matches!(self.pieces.front(), None | Some(Piece::End))
    }

    /// Returns whether the end of the whole answer was read.
    pub(crate) fn has_ended(&self) -> bool {
        self.has_ended
    }
}
