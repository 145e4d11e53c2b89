//! Where streams began, so that they go on only where what is written fits together.
//!
//! Load pattern: upstreams of two software versions serve side by side, or those of one have just left,
//! when many streams break at once and callers take them up at other routers, some of which have just
//! started.
//!
//! | type | decides |
//! | --- | --- |
//! | [`OriginKeeper`] | where a stream began, as one process was told |
//! | [`keepers`] | which processes are told, and asked |
//! | [`SoftwareHistory`] | whether a service had one software version all the while that its streams may last |
//! | [`decide_resume`] | where a stream may go on |
//! | [`CallLimit`], [`CallPace`] | when the platform's table may be called for origins again |

mod batch;
mod handover;
mod history;
mod keeper;
mod keepers;
mod pace;
mod resume;

pub use batch::OriginBatch;
pub use handover::HANDOVER_BATCH;
pub use handover::HANDOVER_PAUSE_MS;
pub use history::ObservedSoftware;
pub use history::SoftwareHistory;
pub use keeper::OriginKeeper;
pub use keepers::keepers;
pub use keepers::KEEPERS;
pub use pace::CallLimit;
pub use pace::CallPace;
pub use resume::decide_resume;
pub use resume::CannotResume;
pub use resume::Resume;
