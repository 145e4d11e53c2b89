//! Waits on conditions.

use std::future::Future;
use std::time::Duration;

/// Pause between two looks at a condition.
const LOOK_EVERY: Duration = Duration::from_millis(10);

/// Turns a hang into a failure; no verdict depends on it.
const HANG: Duration = Duration::from_secs(60);

/// Waits until the condition holds.
///
/// # Errors
///
/// Returns an error that names the condition if it does not hold within the limit for hangs.
pub async fn until<F: Future<Output = bool>>(
    what: &str,
    mut condition: impl FnMut() -> F,
) -> eyre::Result<()> {
    let holds = async {
        while !condition().await {
            tokio::time::sleep(LOOK_EVERY).await;
        }
    };
    let waited = tokio::time::timeout(HANG, holds).await;
    waited.map_err(|_| eyre::eyre!("hang while waiting until {what}"))
}
