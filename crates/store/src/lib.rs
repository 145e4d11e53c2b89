//! Clients of the platform's table service, object store, VM list and weight store.

mod error;
mod traits;

pub use error::StoreError;
pub use traits::Objects;
pub use traits::Table;
pub use traits::VmSource;
