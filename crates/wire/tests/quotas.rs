//! Lengths of the messages about quotas.

use dw_base::ConfigVersion;
use dw_base::DurationMs;
use dw_base::OrgId;
use dw_base::QuotaAmount;
use dw_base::QuotaLimit;
use dw_base::QuotaRate;
use dw_wire::decode;
use dw_wire::encode;
use dw_wire::Datagram;
use dw_wire::QuotaAnswer;
use dw_wire::QuotaQuestion;
use dw_wire::QuotaResult;
use dw_wire::QuotaReturn;

/// Guards against messages that outgrow what a node may send and receive for control: a question and an
/// answer for each request.
#[test]
fn messages_about_quotas_are_long() {
    let org: OrgId = "twenty-four-letters-here".parse().expect("name is valid");
    let question = Datagram::QuotaQuestion(QuotaQuestion {
        number: u32::MAX,
        org: org.clone(),
        limit: QuotaLimit {
            version: ConfigVersion(1_000_000),
            rate: QuotaRate(709_743_000),
            burst: QuotaAmount(709_743),
        },
        amount: QuotaAmount(71_000),
        urgency: 2,
    });
    let answer = Datagram::QuotaAnswer(QuotaAnswer {
        number: u32::MAX,
        result: QuotaResult::Denied(DurationMs(60_000)),
    });
    let returned = Datagram::QuotaReturn(QuotaReturn {
        org,
        amount: QuotaAmount(71_000),
        number: Some(u32::MAX),
    });
    for (datagram, most_bytes) in [(question, 56), (answer, 12), (returned, 40)] {
        let bytes = encode(&datagram).expect("datagram is encoded");
        println!("{} bytes", bytes.len());
        assert!(bytes.len() <= most_bytes, "{} bytes", bytes.len());
        let decoded: Datagram = decode(&bytes).expect("datagram is decoded");
        assert_eq!(decoded, datagram);
    }
}
