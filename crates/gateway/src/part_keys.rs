//! Keys of a prompt's parts.

use std::cell::RefCell;
use std::rc::Rc;

use dw_base::PartKey;
use dw_base::PromptPart;
use dw_base::WeightsVersion;

use crate::job::salt;

/// Keys of a prompt's parts, computed once for each version of weights.
pub(crate) struct PartKeys<'a> {
    scope: &'a str,
    prompt: &'a [PromptPart],
    known: RefCell<Vec<(WeightsVersion, Rc<[PartKey]>)>>,
}

impl<'a> PartKeys<'a> {
    /// Creates the keys of a prompt that is cached under a scope.
    pub(crate) fn new(scope: &'a str, prompt: &'a [PromptPart]) -> Self {
        PartKeys {
            scope,
            prompt,
            known: RefCell::default(),
        }
    }

    /// Returns the keys under some weights.
    pub(crate) fn get(&self, weights: WeightsVersion) -> Rc<[PartKey]> {
        let mut known = self.known.borrow_mut();
        if let Some((_, keys)) = known.iter().find(|(of, _)| *of == weights) {
            return keys.clone();
        }
        let salt = salt(self.scope, weights);
        let keys = self.prompt.iter().map(|part| PartKey::new(&salt, part.id));
        let keys: Rc<[PartKey]> = keys.collect();
        known.push((weights, keys.clone()));
        keys
    }
}
