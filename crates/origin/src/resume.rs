//! Where a stream may go on.

use dw_base::ServiceId;
use dw_base::SoftwareVersion;
use dw_wire::StreamOrigin;

/// Where a stream may go on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Resume {
    /// At any upstream of this service, which had one software version all the while.
    Any(ServiceId),
    /// At upstreams of this service with this version of the software.
    At(ServiceId, SoftwareVersion),
}

/// Why a stream cannot go on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CannotResume {
    /// It is not known which software version began it.
    UnknownOrigin,
    /// The route does not lead to the service that began it.
    OtherService,
}

/// Decides where a stream may go on, from its origin, if that is known, and the services that its route
/// leads to.
///
/// # Errors
///
/// Returns why it cannot go on. Unless its origin becomes known, another attempt to take it up would not help.
pub fn decide_resume(
    origin: Option<StreamOrigin>,
    services: &[ServiceId],
    had_one_version: impl Fn(&ServiceId) -> bool,
) -> Result<Resume, CannotResume> {
    match (origin, services) {
        (Some(origin), _) if services.contains(&origin.service) => {
            Ok(Resume::At(origin.service, origin.software))
        }
        (Some(_), _) => Err(CannotResume::OtherService),
        (None, [service]) if had_one_version(service) => Ok(Resume::Any(service.clone())),
        (None, _) => Err(CannotResume::UnknownOrigin),
    }
}
