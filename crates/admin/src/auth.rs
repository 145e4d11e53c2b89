//! Authentication of operators.

use dw_base::OperatorId;
use dw_config::Config;
use dw_config::Object;
use dw_config::ObjectKind;
use sha2::Digest;
use sha2::Sha256;

/// Name in the log of whoever uses the bootstrap token.
const BOOTSTRAP: &str = "bootstrap";

/// Returns the operator who holds `token`.
///
/// The bootstrap token is accepted only while no operator is declared, because the first operator
/// could not be declared otherwise.
pub(crate) fn operator_of(
    config: &Config,
    bootstrap_token_sha256: Option<&str>,
    token: &str,
) -> Option<OperatorId> {
    let hash = hex::encode(Sha256::digest(token.as_bytes()));
    let mut operators = config.of_kind(ObjectKind::Operator).peekable();
    if operators.peek().is_none() {
        let accepted = bootstrap_token_sha256 == Some(hash.as_str());
        return accepted.then(|| BOOTSTRAP.parse().ok()).flatten();
    }
    operators.find_map(|object| match object {
        Object::Operator(operator) if operator.token_sha256.contains(&hash) => {
            Some(operator.name.clone())
        }
        _ => None,
    })
}
