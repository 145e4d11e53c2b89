//! Lengths of the messages about request limits.

use dw_base::DurationMs;
use dw_base::RequestsPerS;
use dw_wire::decode;
use dw_wire::encode;
use dw_wire::Datagram;
use dw_wire::LimitReport;
use dw_wire::PermitAnswer;
use dw_wire::PermitRequest;
use dw_wire::PermitResult;
use dw_wire::UpstreamStart;

fn report(upstream: u64) -> LimitReport {
    LimitReport {
        upstream: UpstreamStart(u64::MAX - upstream),
        limit: Some(RequestsPerS::new(4.7).expect("value is a rate")),
        age_ms: DurationMs(2_000),
    }
}

/// Guards against messages that outgrow what a node may send and receive for control: one request for a
/// permit and one answer for each request to an upstream with a limit, and all limits every 2 s.
#[test]
fn messages_about_limits_are_long() {
    let request = Datagram::PermitRequest(PermitRequest {
        number: u32::MAX,
        data_centre: "lagos-ikeja".parse().expect("name is valid"),
        priority: 2,
        limit: report(0),
    });
    let answer = Datagram::PermitAnswer(PermitAnswer {
        number: u32::MAX,
        result: PermitResult::Denied(DurationMs(2_000)),
    });
    let limits = Datagram::Limits((0..96).map(report).collect());
    for (datagram, most_bytes) in [(request, 48), (answer, 12), (limits, 96 * 24)] {
        let bytes = encode(&datagram).expect("datagram is encoded");
        println!("{} bytes", bytes.len());
        assert!(bytes.len() <= most_bytes, "{} bytes", bytes.len());
        let decoded: Datagram = decode(&bytes).expect("datagram is decoded");
        assert_eq!(decoded, datagram);
    }
}
