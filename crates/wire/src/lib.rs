//! Protocol between the processes of this project.
//!
//! The data path sends one [`RunRequest`] from router to agent as the body of `POST /v1/run`; the
//! answer is a sequence of length-delimited [`Frame`]s. Control traffic uses the tarpc service
//! [`Control`], which routers and agents both serve.
//!
//! Where routers reach model engines directly, routers and sidecars exchange [`Datagram`]s.

mod admission;
mod cached_parts;
mod codec;
mod control;
mod datagrams;
mod frame;
mod gossip;
mod origins;
mod permits;
mod quota;
mod run;
mod status;
mod transport;

pub use admission::AdmissionAnswer;
pub use admission::AdmissionOffer;
pub use admission::AdmissionQuestion;
pub use admission::AdmissionResult;
pub use admission::AdmissionReturn;
pub use admission::EngineEstimate;
pub use cached_parts::CachedParts;
pub use cached_parts::ReportedParts;
pub use codec::decode;
pub use codec::decode_frames;
pub use codec::encode;
pub use codec::encode_frame;
pub use codec::DecodeError;
pub use codec::FrameDecoder;
pub use codec::MAX_FRAME_BYTES;
pub use codec::PROTOCOL_VERSION;
pub use control::ConfigAck;
pub use control::ConfigUpdate;
pub use control::Control;
pub use control::ControlClient;
pub use control::Hello;
pub use control::Loan;
pub use control::LoanDenied;
pub use control::LoanRequest;
pub use control::ServeControl;
pub use datagrams::forward_datagram;
pub use datagrams::receive_datagrams;
pub use datagrams::send_datagram;
pub use datagrams::send_to_all;
pub use frame::Answer;
pub use frame::Failure;
pub use frame::FailureKind;
pub use frame::Frame;
pub use frame::Refusal;
pub use frame::RefusalReason;
pub use frame::StreamEnd;
pub use frame::StreamStart;
pub use gossip::CachedState;
pub use gossip::DataCentreState;
pub use gossip::Datagram;
pub use gossip::EngineState;
pub use gossip::KvSpan;
pub use gossip::KvUpdate;
pub use gossip::Phase;
pub use gossip::Roster;
pub use gossip::RosterEntry;
pub use gossip::RouterLoads;
pub use gossip::RouterState;
pub use gossip::SuspectReport;
pub use gossip::TableProgress;
pub use gossip::UpstreamStart;
pub use gossip::WeightsUpdate;
pub use gossip::MAX_DATAGRAM_BYTES;
pub use origins::OriginAnswer;
pub use origins::OriginQuery;
pub use origins::OriginRecord;
pub use origins::StreamOrigin;
pub use permits::LimitReport;
pub use permits::PermitAnswer;
pub use permits::PermitRequest;
pub use permits::PermitResult;
pub use quota::QuotaAnswer;
pub use quota::QuotaHandover;
pub use quota::QuotaQuestion;
pub use quota::QuotaResult;
pub use quota::QuotaReturn;
pub use run::Alternative;
pub use run::ParseRepeatRuleError;
pub use run::RepeatRule;
pub use run::ResumeRequest;
pub use run::RunRequest;
pub use run::Work;
pub use status::Status;
pub use transport::connect_control;
pub use transport::serve_control;
pub use transport::ControlHandler;
pub use transport::NO_PROBE_PAUSE_MS;
