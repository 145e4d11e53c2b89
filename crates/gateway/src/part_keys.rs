//! Cache keys of a prompt's parts.

use std::cell::RefCell;
use std::rc::Rc;

use dw_base::PartKey;
use dw_base::PromptPart;
use dw_base::WeightsVersion;

use crate::context::salt;

/// Cache keys of a prompt's parts, computed once for each version of the weights.
pub(crate) struct PartKeys<'a> {
    scope: &'a str,
    prompt: &'a [PromptPart],
    computed: RefCell<Vec<(WeightsVersion, Rc<[PartKey]>)>>,
}

impl<'a> PartKeys<'a> {
    /// Creates the keys of a prompt that is cached under a scope.
    pub(crate) fn new(scope: &'a str, prompt: &'a [PromptPart]) -> Self {
        PartKeys {
            scope,
            prompt,
            computed: RefCell::default(),
        }
    }

    /// Returns the keys for a version of the weights.
    pub(crate) fn get(&self, weights: WeightsVersion) -> Rc<[PartKey]> {
        let mut computed = self.computed.borrow_mut();
        if let Some((_, keys)) = computed.iter().find(|(version, _)| *version == weights) {
            return keys.clone();
        }
        let salt = salt(self.scope, weights);
        let keys = self.prompt.iter().map(|part| PartKey::new(&salt, part.id));
        let keys: Rc<[PartKey]> = keys.collect();
        computed.push((weights, keys.clone()));
        keys
    }
}
