//! Stand-ins for the platform's services and for upstreams.
//!
//! Each stand-in is created as a value (`MemoryTable`, `MemoryObjects`, `MemoryVms`,
//! `MemoryWeights`, `Engine`, `PlainService`) and started on an address by its `start_...` function,
//! usually on [`ephemeral`]. The returned [`Running`] holds the address; dropping or stopping it
//! closes the listener and all connections. The first three can also be used directly, since they
//! implement the traits of `dw_store`.
//!
//! # Faults
//!
//! `POST /faults` takes a JSON object on every stand-in. Keys that are left out are off, so a posted
//! object replaces all earlier switches and `{}` ends every fault. `set_faults` does the same from
//! code. Keys that act once are marked.
//!
//! | stand-in | key | effect |
//! | --- | --- | --- |
//! | table, objects, VM list, weights | `outage` | `none`; `refuse`: 503, not carried out; `cut`: the connection closes, not carried out; `hang`: no answer, not carried out |
//! | | `delay_ms` | every call takes this much longer |
//! | | `lose_answers` | so many of the next writes take effect and the connection then closes |
//! | engine | `slow_factor` | prefill, decode and transfers take this many times as long |
//! | | `paused` | nothing is computed |
//! | | `refuse` | generations are refused as `overloaded` |
//! | | `event_loss` | share of cache events that are numbered and never published |
//! | | `event_delay_ms`, `load_lag_ms` | replace the settings |
//! | | `crash` (once) | back empty with the first weights, fencing number 0 and a greater incarnation; unfinished answers are cut |
//! | | `cut` (once) | unfinished answers are cut; generations continue and can be resumed |
//! | | `evict_all` (once) | the prefix cache is emptied |
//! | plain service | `slow_factor` | executions take this many times as long |
//! | | `refuse` | calls are refused with 503 and not executed |
//! | | `lose_answers` | so many of the next calls are executed and the connection then closes |
//! | | `cut_before` | so many of the next calls are not executed and the connection closes |
//! | | `crash` (once) | executions in progress stay unfinished; the incarnation grows |
//!
//! # Counts
//!
//! `GET /v1/counters` of the platform services, `GET /v1/executions` of the plain service and
//! `GET /v1/audit` of the engine return what happened. The audit counts cached blocks that a request
//! used although another organisation, other weights or another incarnation stored them, and the
//! computed tokens of blocks that a live engine or the KV store held when the computation began.
//!
//! # Engine
//!
//! A token of text is 4 bytes. The engine generates exactly `max_tokens` tokens, whose texts
//! [`token_text`] gives. It advances in steps of the time of one token: each running generation that
//! has its prompt gets one token per step, and the prefill speed is shared by the others, the most
//! urgent class first. A generation continues when its connection breaks. `POST /v1/resume` sends the
//! start event only for `from_index` 0. A cancelled generation ends without an end event and goes
//! back into the queue when it is resumed.

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
pub use engine::Crossing;
pub use engine::Engine;
pub use engine::EngineFaults;
pub use engine::EngineSettings;
pub use engine::Holders;
pub use engine::LoadGate;
pub use engine::Loading;
pub use engine::Stamp;
pub use fleet::EngineEntry;
pub use fleet::Fleet;
pub use fleet::FleetError;
pub use fleet::PlatformEntry;
pub use fleet::RunningFleet;
pub use fleet::ServiceEntry;
pub use fleet::Started;
pub use fleet::VmsEntry;
pub use fleet::WeightsEntry;
pub use objects::start_objects;
pub use objects::MemoryObjects;
pub use platform::Counters;
pub use platform::Outage;
pub use platform::PlatformFaults;
pub use platform::PlatformLimits;
pub use server::ephemeral;
pub use server::Cut;
pub use server::Running;
pub use service::start_service;
pub use service::PlainService;
pub use service::ServiceFaults;
pub use service::ServiceSettings;
pub use table::start_table;
pub use table::MemoryTable;
pub use vms::start_vms;
pub use vms::MemoryVms;
pub use weights::start_weights;
pub use weights::MemoryWeights;
