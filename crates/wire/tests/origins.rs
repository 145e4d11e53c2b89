//! Lengths of the messages about origins of streams and about requests under which upstreams ended.

use dw_base::DurationMs;
use dw_base::RequestDigest;
use dw_base::StreamKey;
use dw_wire::decode;
use dw_wire::encode;
use dw_wire::Datagram;
use dw_wire::OriginAnswer;
use dw_wire::OriginQuery;
use dw_wire::OriginRecord;
use dw_wire::StreamOrigin;
use dw_wire::SuspectReport;
use dw_wire::UpstreamStart;

fn origin() -> StreamOrigin {
    StreamOrigin {
        service: "quote-writers".parse().expect("name is valid"),
        software: "v1.12.3".parse().expect("version is valid"),
    }
}

fn report(number: u64) -> SuspectReport<RequestDigest> {
    SuspectReport {
        key: RequestDigest::new("acme", [&number.to_be_bytes()[..]]),
        ends: vec![(UpstreamStart(u64::MAX - number), DurationMs(200))],
        answered_age_ms: None,
    }
}

/// Guards against messages that outgrow what a node may send and receive for control: two records for each
/// stream that begins, and at most 96 ends a second that are the only ones under their requests.
#[test]
fn messages_about_origins_and_requests_are_long() {
    let stream = StreamKey(u64::MAX);
    let record = Datagram::OriginRecord(OriginRecord {
        stream,
        origin: origin(),
        retention_ms: DurationMs(60_000),
    });
    let query = Datagram::OriginQuery(OriginQuery {
        number: u32::MAX,
        stream,
    });
    let answer = Datagram::OriginAnswer(OriginAnswer {
        number: u32::MAX,
        origin: Some(origin()),
    });
    let reports = Datagram::SuspectRequests((0..96).map(report).collect());
    for (datagram, most_bytes) in [(record, 48), (query, 24), (answer, 36), (reports, 96 * 32)] {
        let bytes = encode(&datagram).expect("datagram is encoded");
        println!("{} bytes", bytes.len());
        assert!(bytes.len() <= most_bytes, "{} bytes", bytes.len());
        let decoded: Datagram = decode(&bytes).expect("datagram is decoded");
        assert_eq!(decoded, datagram);
    }
}
