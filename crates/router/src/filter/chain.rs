//! Computes the block hashes of a prompt.

use dw_base::Chain;
use dw_base::IdempotencyKey;
use dw_base::OrgId;
use dw_base::Salt;
use dw_wire::Work;

use crate::filter::resolve::Resolved;
use crate::filter::validate::Body;

/// Returns the work for an agent, with the chain of the prompt.
pub(crate) fn work(
    org: &OrgId,
    resolved: &Resolved,
    key: Option<IdempotencyKey>,
    body: Body,
) -> Work {
    match (body, &resolved.model) {
        (
            Body::Generate {
                prompt,
                max_tokens,
                model,
                ..
            },
            weights,
        ) => {
            let weights = weights.as_ref().map(|(_, w)| *w).unwrap_or_default();
            let salt = Salt {
                org: org.clone(),
                model: model.clone(),
                weights,
            };
            Work::Generate {
                model,
                weights,
                chain: Chain::new(&salt, prompt.as_bytes()),
                prompt,
                max_tokens,
            }
        }
        (Body::Call(body), _) => Work::Call {
            key,
            body: body.to_vec(),
        },
    }
}
