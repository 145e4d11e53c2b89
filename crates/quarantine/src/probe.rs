//! When one request with a quarantined part may be sent as a probe.

use dw_base::DurationMs;
use dw_base::Suspect;

/// Pauses before the first probes, counted from the quarantine or from the probe before. The first ones
/// are short, as a sound part may be in quarantine by chance, and a probe may be lost by chance; each
/// further one costs an upstream.
const FIRST_PAUSES_MS: [DurationMs; 4] = [
    DurationMs(500),
    DurationMs(3_000),
    DurationMs(10_000),
    DurationMs(30_000),
];

/// Longest pause between two probes.
const MAX_PAUSE_MS: DurationMs = DurationMs(600_000);

/// Pauses before the probes of a request, of which there are no more: after them it stays in quarantine.
///
/// Unlike a part, a request that ends upstreams does so each time, and operators accept three ends more
/// once it is known. One is left for a request that crosses the news.
const REQUEST_PAUSES_MS: [DurationMs; 2] = [DurationMs(1_000), DurationMs(30_000)];

/// Stored record of a quarantined part or request, which all routers share.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QuarantineRecord {
    /// Part or request.
    pub suspect: Suspect,
    /// Number of probes sent with it.
    pub probes: u32,
    /// Number of probes sent of which nothing else was in quarantine.
    pub solo_probes: u32,
    /// Another suspect in quarantine of the last probe that had several.
    pub partner: Option<Suspect>,
    /// When the record was written, by the clock of the table that keeps it.
    pub written_ms: u64,
    /// Version of the stored record; 0 if it is not stored yet.
    pub version: u64,
}

impl QuarantineRecord {
    /// Creates the record of a suspect that enters quarantine now.
    fn new(suspect: Suspect, table_now_ms: u64) -> Self {
        QuarantineRecord {
            suspect,
            probes: 0,
            solo_probes: 0,
            partner: None,
            written_ms: table_now_ms,
            version: 0,
        }
    }
}

/// Whether a request in quarantine, or with quarantined parts, may be sent as a probe.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ProbeDecision {
    /// It may, once these records are stored; only one router can store them.
    Send(Vec<QuarantineRecord>),
    /// It may not for a while.
    Wait {
        /// Time until the next probe may be sent.
        pause_ms: DurationMs,
        /// Records of suspects that had none.
        missing: Vec<QuarantineRecord>,
    },
}

/// Returns the pause before the next probe, or nothing if there is none.
fn pause_ms(suspect: Suspect, probes: u32) -> Option<DurationMs> {
    match suspect {
        Suspect::Part(_) => Some(part_pause_ms(probes)),
        Suspect::Request(_) => REQUEST_PAUSES_MS.get(probes as usize).copied(),
    }
}

fn part_pause_ms(probes: u32) -> DurationMs {
    let at = probes as usize;
    let last = FIRST_PAUSES_MS.len() - 1;
    match FIRST_PAUSES_MS.get(at) {
        Some(pause_ms) => *pause_ms,
        None => {
            let doublings = u32::try_from(at - last).unwrap_or(u32::MAX).min(16);
            DurationMs(FIRST_PAUSES_MS[last].0 << doublings).min(MAX_PAUSE_MS)
        }
    }
}

/// Returns new records for the suspects that have none.
pub fn missing_records(
    suspects: &[Suspect],
    stored: &[QuarantineRecord],
    table_now_ms: u64,
) -> Vec<QuarantineRecord> {
    let is_missing = |suspect: &&Suspect| !stored.iter().any(|known| known.suspect == **suspect);
    let missing = suspects.iter().filter(is_missing);
    missing
        .map(|suspect| QuarantineRecord::new(*suspect, table_now_ms))
        .collect()
}

/// Decides whether a request with these suspects in quarantine may be sent, from their stored records and
/// the time of the table that keeps them.
///
/// A request with several quarantined parts does not tell which of them ends upstreams. While another one
/// may have been the cause, a part that was never probed alone is probed without it after the first pause,
/// or after the second one beside further parts.
pub fn decide_probe(
    suspects: &[Suspect],
    stored: &[QuarantineRecord],
    table_now_ms: u64,
) -> ProbeDecision {
    let is_solo = suspects.len() == 1;
    let known = || {
        stored
            .iter()
            .filter(|record| suspects.contains(&record.suspect))
    };
    let missing = missing_records(suspects, stored, table_now_ms);
    let is_stored = |suspect: Suspect| stored.iter().any(|record| record.suspect == suspect);
    let is_other = |partner: Suspect| is_stored(partner) && !suspects.contains(&partner);
    let remaining_ms = |record: &QuarantineRecord| {
        let may_be_sound = record.solo_probes == 0 && record.partner.is_some_and(is_other);
        let sent = match record.suspect {
            Suspect::Request(_) => record.probes,
            Suspect::Part(_) if may_be_sound && is_solo => 0,
            // Once only: other requests with the query of death may hold other quarantined parts.
            Suspect::Part(_) if may_be_sound && record.probes == 1 => 1,
            Suspect::Part(_) if is_solo => record.probes,
            // The first short pause is left to requests that test one part only.
            Suspect::Part(_) => record.probes.saturating_add(1),
        };
        let waited_ms = DurationMs(table_now_ms.saturating_sub(record.written_ms));
        match pause_ms(record.suspect, sent) {
            Some(pause_ms) => pause_ms.saturating_sub(waited_ms),
            None => MAX_PAUSE_MS,
        }
    };
    let all = known().chain(&missing);
    let remaining_ms = all.map(remaining_ms).max().unwrap_or_default();
    if remaining_ms > DurationMs::ZERO {
        return ProbeDecision::Wait {
            pause_ms: remaining_ms,
            missing,
        };
    }
    let next = known().map(|record| QuarantineRecord {
        probes: record.probes.saturating_add(1),
        solo_probes: record.solo_probes.saturating_add(u32::from(is_solo)),
        partner: suspects
            .iter()
            .copied()
            .find(|suspect| *suspect != record.suspect),
        written_ms: table_now_ms,
        ..*record
    });
    ProbeDecision::Send(next.collect())
}
