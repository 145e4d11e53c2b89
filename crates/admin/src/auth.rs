//! Authentication of operators.

use dw_base::OperatorId;
use dw_config::Config;
use dw_config::Object;
use dw_config::ObjectKind;
use sha2::Digest;
use sha2::Sha256;

/// Operator id that is recorded for changes made with the bootstrap token.
const BOOTSTRAP_OPERATOR: &str = "bootstrap";

/// Returns the operator who holds `token`.
///
/// The bootstrap token is accepted only while no operator is declared. It is needed to declare the
/// first operator.
pub(crate) fn authenticate(
    config: &Config,
    bootstrap_token_sha256: Option<&str>,
    token: &str,
) -> Option<OperatorId> {
    let hash = hex::encode(Sha256::digest(token.as_bytes()));
    let mut operators = config.of_kind(ObjectKind::Operator).peekable();
    if operators.peek().is_none() {
        let accepted = bootstrap_token_sha256 == Some(hash.as_str());
        return accepted.then(|| BOOTSTRAP_OPERATOR.parse().ok()).flatten();
    }
    operators.find_map(|object| match object {
        Object::Operator(operator) if operator.token_sha256.contains(&hash) => {
            Some(operator.name.clone())
        }
        _ => None,
    })
}
