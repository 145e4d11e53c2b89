//! Stand-ins for the platform's services and for upstreams.
//!
//! Each stand-in is created as a value (`MemoryTable`, `MemoryObjects`, `MemoryVms`,
//! `MemoryWeights`, `Engine`, `PlainService`) and started on an address by its `start_...`
//! function, usually on [`ephemeral_addr`]. The returned [`ServerHandle`] has the address; dropping
//! or stopping it closes the listener and all connections. The first three can also be used in
//! process, since they implement the traits of `dw_store`.
//!
//! # Faults
//!
//! Each stand-in accepts a JSON object of fault switches at `POST /faults`. An omitted key switches
//! its fault off, so each posted object replaces all earlier switches and `{}` ends all faults.
//! `set_faults` does the same from code. Keys marked "one-time" act once, when they are posted.
//!
//! | stand-in | key | effect |
//! | --- | --- | --- |
//! | table, objects, VM list, weights | `outage` | no call is executed; `refuse`: 503; `cut`: the connection is closed; `hang`: no response; `none` (default): no outage |
//! | | `delay_ms` | additional latency of each call |
//! | | `lose_answers` | for this number of writes, the write takes effect and the connection is closed without a response |
//! | engine | `slow_factor` | factor by which prefill, decode and transfers are slowed down |
//! | | `paused` | computation is paused |
//! | | `refuse` | generations are refused with `overloaded` |
//! | | `event_loss` | probability that a cache event gets a sequence number but is never published |
//! | | `event_delay_ms`, `load_lag_ms` | override the settings of the same names |
//! | | `crash` (one-time) | restart with an empty cache, the initial weights, fencing token 0 and the next incarnation; connections with unfinished responses are closed |
//! | | `crash_on` | as `crash`, each time the engine begins an answer to a prompt that contains this text |
//! | | `crash_after_tokens` | number of tokens of that answer before the crash; 0 by default |
//! | | `cut` (one-time) | connections with unfinished responses are closed; generations continue and can be resumed |
//! | | `evict_all` (one-time) | all blocks are evicted from the prefix cache |
//! | plain service | `slow_factor` | factor by which executions are slowed down |
//! | | `refuse` | calls are refused with 503 and not executed |
//! | | `lose_answers` | for this number of calls, the call is executed and the connection is closed without a response |
//! | | `cut_before` | for this number of calls, the connection is closed and the call is not executed |
//! | | `crash` (one-time) | executions in progress are aborted, their connections are closed, and the incarnation grows |
//!
//! # Counters
//!
//! `GET /v1/counters` of the platform services, `GET /v1/executions` of the plain service and `GET
//! /v1/audit` of the engine report the calls received. The audit counts the uses of cached blocks
//! that were stored for another organisation, weights version or incarnation, and the prompt tokens
//! that were recomputed although a live engine or the KV store held their block.
//!
//! # Engine
//!
//! A token is 4 bytes of text. The engine generates exactly `max_tokens` tokens; [`token_text`]
//! returns their texts. It advances in steps of the time per token: in each step, every generation
//! with a complete prefill gets one token, and the others share the prefill throughput, the most
//! urgent priority first. A generation continues when its connection is closed. `POST /v1/resume`
//! sends the start event only if `from_index` is 0. The stream of a cancelled generation ends
//! without an end event, and the generation is queued again when it is resumed.

mod engine;
mod fleet;
mod objects;
mod platform;
mod server;
mod service;
mod table;
mod vms;
mod weights;

pub use engine::answer_text;
pub use engine::start_engine;
pub use engine::token_text;
pub use engine::Audit;
pub use engine::BlockOrigin;
pub use engine::BlockRegistry;
pub use engine::Engine;
pub use engine::EngineFaults;
pub use engine::EngineSettings;
pub use engine::IsolationViolation;
pub use engine::WeightLoad;
pub use engine::WeightLoadTracker;
pub use fleet::EngineEntry;
pub use fleet::Fleet;
pub use fleet::FleetError;
pub use fleet::PlatformEntry;
pub use fleet::RunningFleet;
pub use fleet::RunningStandin;
pub use fleet::ServiceEntry;
pub use fleet::VmsEntry;
pub use fleet::WeightsEntry;
pub use objects::start_objects;
pub use objects::MemoryObjects;
pub use platform::Counters;
pub use platform::Outage;
pub use platform::PlatformFaults;
pub use platform::PlatformLimits;
pub use server::ephemeral_addr;
pub use server::ConnectionAborted;
pub use server::ServerHandle;
pub use service::start_service;
pub use service::PlainService;
pub use service::ServiceFaults;
pub use service::ServiceSettings;
pub use table::start_table;
pub use table::MemoryTable;
pub use table::TableCopy;
pub use vms::start_vms;
pub use vms::MemoryVms;
pub use weights::start_weights;
pub use weights::MemoryWeights;
