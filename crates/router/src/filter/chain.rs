//! Computes the block hashes of a prompt.

use dw_base::Chain;
use dw_base::IdempotencyKey;
use dw_base::ModelId;
use dw_base::OrgId;
use dw_base::Salt;
use dw_base::WeightsVersion;
use dw_wire::Work;

use crate::filter::resolve::Resolved;
use crate::filter::validate::Body;

fn chain(org: &OrgId, model: &ModelId, weights: WeightsVersion, prompt: &str) -> Chain {
    let salt = Salt {
        org: org.clone(),
        model: model.clone(),
        weights,
    };
    Chain::new(&salt, prompt.as_bytes())
}

/// Returns the work for an upstream that serves other weights than the declared ones, as during a
/// rolling change.
pub(crate) fn with_weights(org: &OrgId, work: &Work, served: Option<WeightsVersion>) -> Work {
    let mut work = work.clone();
    if let (
        Work::Generate {
            model,
            weights,
            chain: old,
            prompt,
            ..
        },
        Some(served),
    ) = (&mut work, served)
    {
        if *weights != served {
            *weights = served;
            *old = chain(org, model, served, prompt);
        }
    }
    work
}

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
            Work::Generate {
                chain: chain(org, &model, weights, &prompt),
                model,
                weights,
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
