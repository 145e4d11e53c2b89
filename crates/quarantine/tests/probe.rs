//! When requests with quarantined parts are sent as probes.

use dw_base::ModelPart;
use dw_base::Suspect;
use dw_quarantine::decide_probe;
use dw_quarantine::missing_records;
use dw_quarantine::ProbeDecision;
use dw_quarantine::QuarantineRecord;
use proptest::prelude::*;

const QUERY_OF_DEATH: Suspect = Suspect::Part(ModelPart(1));
const SOUND: Suspect = Suspect::Part(ModelPart(2));

/// Table with the records, which each write changes.
#[derive(Default)]
struct Table(Vec<QuarantineRecord>);

impl Table {
    fn write(&mut self, records: Vec<QuarantineRecord>) {
        for record in records {
            self.0.retain(|known| known.suspect != record.suspect);
            self.0.push(QuarantineRecord {
                version: record.version + 1,
                ..record
            });
        }
    }

    /// Requests a probe; returns whether it may be sent.
    fn request(&mut self, parts: &[Suspect], now_ms: u64) -> bool {
        match decide_probe(parts, &self.0, now_ms) {
            ProbeDecision::Send(records) => {
                self.write(records);
                true
            }
            ProbeDecision::Wait { missing, .. } => {
                self.write(missing);
                false
            }
        }
    }

    /// Requests probes again and again until a time; returns how many were sent.
    fn request_until(&mut self, parts: &[Suspect], from_ms: u64, until_ms: u64) -> usize {
        let times = (from_ms..until_ms).step_by(50);
        times.filter(|now_ms| self.request(parts, *now_ms)).count()
    }
}

/// Probes that may be sent in the first minute after a part is known to end upstreams.
const MOST_PROBES_ONCE_KNOWN: usize = 3;

/// Guards against probes that end more upstreams than operators accept: two in the first seconds, which
/// may be chance and complete the evidence, a few more in the first minute, then ever fewer.
#[test]
fn probes_become_rare() {
    let both = [QUERY_OF_DEATH, SOUND];
    for other in [&both[..1], &both[..]] {
        let mut table = Table::default();
        assert_eq!(table.request_until(&[QUERY_OF_DEATH], 0, 5_000), 2);
        let mut known = 0;
        for second in 5..65 {
            known += table.request_until(other, second * 1_000, second * 1_000 + 500);
            known += table.request_until(
                &[QUERY_OF_DEATH],
                second * 1_000 + 500,
                second * 1_000 + 1_000,
            );
        }
        assert!(known <= MOST_PROBES_ONCE_KNOWN, "{known} probes");
        assert!(table.request_until(other, 65_000, 3_600_000) <= 9);
    }
}

/// Guards against a query of death that is probed anew, as if nothing were known, once the sound part
/// beside it has left quarantine. Found by a hunt on tikar-lestari, seed 613718121820.
#[test]
fn probes_shared_with_a_released_part_count() {
    let mut table = Table::default();
    let both = [QUERY_OF_DEATH, SOUND];
    assert_eq!(table.request_until(&both, 0, 14_000), 2);
    assert_eq!(table.request_until(&[SOUND], 14_000, 14_100), 1);
    table.0.retain(|record| record.suspect != SOUND);
    let sent = table.request_until(&[QUERY_OF_DEATH], 14_100, 22_000);
    assert_eq!(sent, 0, "no probe within seconds");
    let sent = table.request_until(&[QUERY_OF_DEATH], 22_000, 50_000);
    assert_eq!(
        sent, 1,
        "the next one after the pause that follows two probes"
    );
}

/// Guards against a sound part that stays refused for long since its probes met crashes by chance.
#[test]
fn third_probe_comes_within_seconds() {
    let mut table = Table::default();
    assert_eq!(table.request_until(&[SOUND], 0, 14_000), 3);
}

/// Guards against a sound part that waits for the probes of the query of death beside it.
#[test]
fn sound_part_does_not_wait_for_the_query_of_death() {
    let mut table = Table::default();
    let both = [QUERY_OF_DEATH, SOUND];
    assert!(table.request_until(&both, 0, 10_000) > 0);
    let sent = table.request_until(&[SOUND], 10_000, 11_000);
    assert!(
        sent > 0,
        "the sound part is tried on its own within a second"
    );
}

/// Guards against sound requests with two quarantined parts that wait longer and longer since requests with
/// one of them and the query of death take the probes, and against more probes of the latter because of it.
#[test]
fn sound_parts_do_not_wait_for_probes_that_one_of_them_shared() {
    let third = Suspect::Part(ModelPart(3));
    let mut table = Table::default();
    table.write(missing_records(&[QUERY_OF_DEATH, SOUND, third], &[], 0));
    let deadly = [QUERY_OF_DEATH, SOUND];
    assert_eq!(table.request_until(&deadly, 0, 3_100), 1);
    assert_eq!(table.request_until(&[SOUND, third], 3_100, 6_100), 1);
    let mut sent = 0;
    for second in 7..67 {
        let from_ms = second * 1_000;
        sent += table.request_until(&deadly, from_ms, from_ms + 500);
        let other = [QUERY_OF_DEATH, third];
        sent += table.request_until(&other, from_ms + 500, from_ms + 1_000);
    }
    assert!(sent <= MOST_PROBES_ONCE_KNOWN, "{sent} probes");
}

/// Guards against a first request that waits although the record was stored with the quarantine.
#[test]
fn stored_record_makes_the_next_request_a_probe() {
    let mut table = Table::default();
    table.write(missing_records(&[SOUND], &[], 1_000));
    assert!(!table.request(&[SOUND], 1_400));
    assert!(table.request(&[SOUND], 1_500));
}

proptest! {
    /// Guards against two probes at one time, whichever requests come with the part.
    #[test]
    fn probes_of_a_part_keep_their_pause(
        requests in proptest::collection::vec((0_u64..5_000, any::<bool>()), 1..200)
    ) {
        let mut table = Table::default();
        let mut now_ms = 0;
        let mut last_ms = None;
        for (pause_ms, is_solo) in requests {
            now_ms += pause_ms;
            let parts: &[Suspect] = match is_solo {
                true => &[QUERY_OF_DEATH],
                false => &[QUERY_OF_DEATH, SOUND],
            };
            if table.request(parts, now_ms) {
                prop_assert!(last_ms.is_none_or(|last_ms| now_ms - last_ms >= 500));
                last_ms = Some(now_ms);
            }
        }
    }
}
