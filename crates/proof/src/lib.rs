//! Runs the programs under failures and checks the guarantees of section 1 of the design page.
//!
//! The stand-ins of the platform and the upstreams run in the process of the test, so that their
//! records can be read directly. Routers and agents run as processes of the workspace's binaries, so
//! that they can be killed, stopped and continued. Each test ends the processes that it has started.

mod caller;
mod check;
mod process;
mod proxy;
mod site;
mod wait;

pub use caller::ask;
pub use caller::get;
pub use caller::operate;
pub use caller::operate_until_available;
pub use caller::Reply;
pub use caller::RequestHead;
pub use check::check_once;
pub use check::check_refusals;
pub use check::check_stream;
pub use check::Call;
pub use process::Process;
pub use proxy::Proxy;
pub use site::hello;
pub use site::node_state;
pub use site::AgentProcess;
pub use site::RouterProcess;
pub use site::Site;
pub use site::SiteSettings;
pub use site::BOOTSTRAP_TOKEN;
pub use wait::until;
