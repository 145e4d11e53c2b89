//! Commit of a change to the table as a state machine.
//!
//! | event | actions |
//! | --- | --- |
//! | start | read head, change id and touched objects |
//! | `Read` with the change id | done: committed with that version, after a look at its text if this commit did not write it |
//! | `Read` with a touched object newer than the base | done: refused, naming the version |
//! | `Read` with a head that moved | read the changes since, then check and transact |
//! | `Read` otherwise | transact |
//! | `Answer` committed | done |
//! | `Answer` with conflicts | read again |
//! | `UnknownOutcome` | read again: the change id settles it |
//! | `Unavailable` | done, or read again while a transaction may still take effect |
//! | `Deadline` | done: not committed, or unknown |

use std::collections::BTreeMap;

use dw_api::table::Check;
use dw_api::table::Item;
use dw_api::table::ReadRequest;
use dw_api::table::ReadResponse;
use dw_api::table::TxnRequest;
use dw_api::table::TxnResponse;
use dw_api::table::Write;
use dw_base::ChangeId;
use dw_base::ConfigVersion;
use dw_base::TimeMs;
use serde::de::DeserializeOwned;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::change::Change;
use crate::change::ChangeError;
use crate::change::CommittedChange;
use crate::key::change_id_key;
use crate::key::change_key;
use crate::key::object_key;
use crate::key::HEAD_KEY;
use crate::object::Object;
use crate::object::ObjectKey;
use crate::snapshot::UpdateError;
use crate::view::Config;

/// Most changes read in one call, which bounds the size of the answer.
pub const CHANGES_PER_READ: u64 = 64;

/// What the shell has seen.
#[derive(Clone, Debug, PartialEq)]
pub enum CommitEvent {
    /// The answer to [`CommitAction::Read`].
    Read(ReadResponse),
    /// The answer to [`CommitAction::Transact`].
    Answer(TxnResponse),
    /// The transaction may have taken effect.
    UnknownOutcome,
    /// The read or transaction certainly had no effect.
    Unavailable(String),
    /// There is no time left; the last action was not carried out.
    Deadline,
}

/// What the shell must do next.
#[derive(Clone, Debug, PartialEq)]
pub enum CommitAction {
    /// Read keys.
    Read(ReadRequest),
    /// Wait briefly, then read keys.
    ReadLater(ReadRequest),
    /// Carry out a transaction.
    Transact(TxnRequest),
    /// The commit has ended.
    Done(Result<Committed, CommitError>),
}

/// A change that is in the table.
#[derive(Clone, Debug, PartialEq)]
pub struct Committed {
    /// Version that the change made.
    pub version: ConfigVersion,
    /// Changes that were read or made on the way, the oldest first.
    pub changes: Vec<CommittedChange>,
}

/// A change was not committed, or it is not known whether it was.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum CommitError {
    /// A touched object is newer than the operator's view.
    #[error("{key} was changed by version {lost_to}, after version {base} on which this change is based: look at it and send the change again")]
    Conflict {
        /// Object.
        key: ObjectKey,
        /// Version on which the change is based.
        base: ConfigVersion,
        /// Version that won.
        lost_to: ConfigVersion,
    },
    /// The change does not fit the newest configuration.
    #[error(transparent)]
    Refused(#[from] ChangeError),
    /// The table could not be used; nothing has changed.
    #[error("the table cannot be used, nothing was changed: {0}; try again later")]
    Unavailable(String),
    /// The table became unavailable while the outcome was open.
    #[error("it is not known whether change {0} was made: send it again with the same change id")]
    OutcomeUnknown(ChangeId),
    /// The table holds something else than a configuration; nothing has changed.
    #[error("the configuration in the table cannot be read: {0}; check that all nodes run the same release")]
    Malformed(String),
}

/// Value of an object's key; a deleted object keeps its version, so that a conflict can name it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
struct StoredObject {
    version: ConfigVersion,
    object: Option<Object>,
}

#[derive(Clone, Debug, PartialEq)]
enum State {
    Looking,
    CatchingUp(Seen),
    /// Reads the change that has the id, to see whether it is this one.
    Settling(ConfigVersion),
    /// Waits for the answer to a transaction that checks this head item.
    Writing(u64),
}

/// What the last look at the table has shown.
#[derive(Clone, Debug, PartialEq)]
struct Seen {
    head: ConfigVersion,
    head_item_version: u64,
    object_item_versions: BTreeMap<String, u64>,
}

/// Commit of one change.
#[derive(Clone, Debug)]
pub struct Commit {
    change: Change,
    base: ConfigVersion,
    config: Config,
    now: TimeMs,
    state: State,
    passed: Vec<CommittedChange>,
    prepared: Option<CommittedChange>,
    /// Head item that an unsettled transaction checks. Once the head has moved on, that transaction
    /// can no longer take effect.
    doubt: Option<u64>,
}

impl Commit {
    /// Starts to commit `change`, which is based on version `base`, at a node that has `config`.
    pub fn start(
        change: Change,
        base: ConfigVersion,
        config: Config,
        now: TimeMs,
    ) -> (Self, CommitAction) {
        let commit = Commit {
            change,
            base,
            config,
            now,
            state: State::Looking,
            passed: Vec::new(),
            prepared: None,
            doubt: None,
        };
        let action = CommitAction::Read(commit.look());
        (commit, action)
    }

    /// Handles an event and returns what to do next.
    pub fn step(&mut self, event: CommitEvent) -> CommitAction {
        match event {
            CommitEvent::Read(response) => self.on_read(response),
            CommitEvent::Answer(answer) if answer.committed => self.on_committed(),
            CommitEvent::Answer(_) => self.look_again(),
            CommitEvent::UnknownOutcome => self.on_unknown(),
            CommitEvent::Unavailable(detail) => self.on_unavailable(detail),
            CommitEvent::Deadline => self.give_up("there was no time left".to_owned()),
        }
    }

    fn look(&self) -> ReadRequest {
        let mut keys = vec![HEAD_KEY.to_owned(), change_id_key(&self.change.id)];
        keys.extend(self.change.touched().iter().map(object_key));
        read_keys(keys)
    }

    fn look_again(&mut self) -> CommitAction {
        self.state = State::Looking;
        CommitAction::Read(self.look())
    }

    fn on_read(&mut self, response: ReadResponse) -> CommitAction {
        let result = match self.state.clone() {
            State::Looking => self.on_look(response),
            State::CatchingUp(seen) => self.on_changes(&response, seen),
            State::Settling(version) => self.on_settling(&response, version),
            State::Writing(_) => Ok(self.look_again()),
        };
        result.unwrap_or_else(|error| self.fail(error))
    }

    fn on_look(&mut self, response: ReadResponse) -> Result<CommitAction, CommitError> {
        let items = by_key(response);
        if let Some(item) = items.get(&change_id_key(&self.change.id)) {
            return Ok(self.on_id_found(value(item)?));
        }
        let head_item = items.get(HEAD_KEY);
        let head_item_version = head_item.map_or(0, |item| item.version);
        if self.doubt.is_some_and(|doubt| doubt != head_item_version) {
            self.doubt = None;
        }
        self.check_base(&items)?;
        let seen = Seen {
            head: head_item.map_or(Ok(ConfigVersion(0)), value)?,
            head_item_version,
            object_item_versions: self.object_item_versions(&items),
        };
        self.catch_up(seen)
    }

    /// An id that this commit has not written may belong to another change.
    fn on_id_found(&mut self, version: ConfigVersion) -> CommitAction {
        let prepared = self.prepared.as_ref();
        if prepared.is_some_and(|change| change.version == version) {
            return self.settle(version);
        }
        self.doubt = None;
        self.state = State::Settling(version);
        CommitAction::Read(read_keys(vec![change_key(version)]))
    }

    fn on_settling(
        &mut self,
        response: &ReadResponse,
        version: ConfigVersion,
    ) -> Result<CommitAction, CommitError> {
        let logged = decode_changes(response)?.pop();
        let same = logged.is_some_and(|logged| {
            logged.text == self.change.text && logged.operator == self.change.operator
        });
        if !same {
            return Err(ChangeError::IdUsed(self.change.id.clone(), version).into());
        }
        Ok(self.settle(version))
    }

    fn check_base(&self, items: &BTreeMap<String, Item>) -> Result<(), CommitError> {
        for key in self.change.touched() {
            let Some(item) = items.get(&object_key(&key)) else {
                continue;
            };
            let stored: StoredObject = value(item)?;
            if stored.version > self.base {
                return Err(CommitError::Conflict {
                    key,
                    base: self.base,
                    lost_to: stored.version,
                });
            }
        }
        Ok(())
    }

    fn object_item_versions(&self, items: &BTreeMap<String, Item>) -> BTreeMap<String, u64> {
        let touched = self.change.touched();
        let keys = touched.iter().map(object_key);
        keys.map(|key| {
            let version = items.get(&key).map_or(0, |item| item.version);
            (key, version)
        })
        .collect()
    }

    fn catch_up(&mut self, seen: Seen) -> Result<CommitAction, CommitError> {
        if self.config.version > seen.head {
            let (ours, head) = (self.config.version, seen.head);
            return Err(CommitError::Malformed(format!(
                "head {head} is older than version {ours} of this node"
            )));
        }
        if self.config.version == seen.head {
            return self.transact(&seen);
        }
        let request = read_changes(self.config.version, seen.head);
        self.state = State::CatchingUp(seen);
        Ok(CommitAction::Read(request))
    }

    fn on_changes(
        &mut self,
        response: &ReadResponse,
        seen: Seen,
    ) -> Result<CommitAction, CommitError> {
        let changes = decode_changes(response)?;
        let malformed = |e: UpdateError| CommitError::Malformed(e.to_string());
        match self.config.advance(changes).map_err(malformed)? {
            Some(advanced) => {
                self.config = advanced.config;
                self.passed.extend(advanced.changes);
                self.catch_up(seen)
            }
            None => Err(CommitError::Malformed(format!(
                "changes between {} and {} are missing",
                self.config.version, seen.head
            ))),
        }
    }

    fn transact(&mut self, seen: &Seen) -> Result<CommitAction, CommitError> {
        let committed = self.change.prepare(&self.config, self.now)?;
        let request = transaction(&committed, seen)?;
        self.prepared = Some(committed);
        self.state = State::Writing(seen.head_item_version);
        Ok(CommitAction::Transact(request))
    }

    fn on_committed(&mut self) -> CommitAction {
        match self.prepared.as_ref().map(|change| change.version) {
            Some(version) => self.settle(version),
            None => self.look_again(),
        }
    }

    fn settle(&mut self, version: ConfigVersion) -> CommitAction {
        let mut changes = std::mem::take(&mut self.passed);
        changes.extend(
            self.prepared
                .take()
                .filter(|change| change.version == version),
        );
        CommitAction::Done(Ok(Committed { version, changes }))
    }

    fn on_unknown(&mut self) -> CommitAction {
        if let State::Writing(head_item_version) = self.state {
            self.doubt = Some(head_item_version);
        }
        self.look_again()
    }

    fn on_unavailable(&mut self, detail: String) -> CommitAction {
        if self.doubt.is_none() {
            return self.give_up(detail);
        }
        self.state = State::Looking;
        CommitAction::ReadLater(self.look())
    }

    fn give_up(&self, detail: String) -> CommitAction {
        self.fail(CommitError::Unavailable(detail))
    }

    /// An error is certain only if no transaction can take effect any more.
    fn fail(&self, error: CommitError) -> CommitAction {
        if self.doubt.is_some() {
            return CommitAction::Done(Err(CommitError::OutcomeUnknown(self.change.id.clone())));
        }
        CommitAction::Done(Err(error))
    }
}

fn read_keys(keys: Vec<String>) -> ReadRequest {
    ReadRequest {
        after: None,
        keys,
        limit: None,
        prefix: None,
    }
}

/// Returns a request for the first changes after `after`, up to `head`.
pub fn read_changes(after: ConfigVersion, head: ConfigVersion) -> ReadRequest {
    let last = head.0.min(after.0.saturating_add(CHANGES_PER_READ));
    let versions = after.0.saturating_add(1)..=last;
    read_keys(versions.map(|v| change_key(ConfigVersion(v))).collect())
}

/// Returns the changes in an answer, the oldest first.
///
/// # Errors
///
/// Returns an error if an item is not a change.
pub fn decode_changes(response: &ReadResponse) -> Result<Vec<CommittedChange>, CommitError> {
    let mut changes = Vec::new();
    for item in &response.items {
        changes.push(value::<CommittedChange>(item)?);
    }
    changes.sort_by_key(|change| change.version);
    Ok(changes)
}

fn by_key(response: ReadResponse) -> BTreeMap<String, Item> {
    let items = response.items.into_iter();
    items.map(|item| (item.key.clone(), item)).collect()
}

fn value<T: DeserializeOwned>(item: &Item) -> Result<T, CommitError> {
    T::deserialize(&item.value).map_err(|e| CommitError::Malformed(format!("{}: {e}", item.key)))
}

fn transaction(change: &CommittedChange, seen: &Seen) -> Result<TxnRequest, CommitError> {
    let mut checks = vec![
        check(HEAD_KEY, seen.head_item_version),
        check(&change_id_key(&change.id), 0),
        check(&change_key(change.version), 0),
    ];
    let objects = seen.object_item_versions.iter();
    checks.extend(objects.map(|(key, version)| check(key, *version)));
    let mut writes = vec![
        write(HEAD_KEY, &change.version)?,
        write(&change_key(change.version), change)?,
        write(&change_id_key(&change.id), &change.version)?,
    ];
    for object_write in &change.writes {
        let stored = StoredObject {
            version: change.version,
            object: object_write.object.clone(),
        };
        writes.push(write(&object_key(&object_write.key), &stored)?);
    }
    Ok(TxnRequest { checks, writes })
}

fn check(key: &str, version: u64) -> Check {
    Check {
        key: key.to_owned(),
        version,
    }
}

fn write(key: &str, value: &impl Serialize) -> Result<Write, CommitError> {
    let value =
        serde_json::to_value(value).map_err(|e| CommitError::Malformed(format!("{key}: {e}")))?;
    Ok(Write {
        key: key.to_owned(),
        value: Some(value),
    })
}
