//! Origins of streams in the platform's table, for streams whose keepers have all ended.
//!
//! Each router stores the origins of the streams that it begins, a batch at a time, and sooner while upstreams of several
//! software versions of their service serve. It reads what all of them have stored when a caller takes up a stream of
//! which no live process knows where it began.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::rc::Rc;

use dw_base::DurationMs;
use dw_base::PrefixKey;
use dw_base::ServiceId;
use dw_base::StreamKey;
use dw_base::TimeMs;
use dw_origin::CallLimit;
use dw_origin::CallPace;
use dw_origin::OriginBatch;
use dw_origin::OriginKeeper;
use dw_platform::boot::TableRates;
use dw_port::FeedError;
use dw_port::OriginTable;
use dw_port::StoredOrigins;
use dw_wire::OriginRecord;
use dw_wire::StreamOrigin;
use tokio::sync::Mutex;
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::shared::Shared;

/// Timeout of one call to the table, for which a take-up may wait.
const CALL_TIMEOUT_MS: DurationMs = DurationMs(600);

/// Longest time that a take-up waits until the table may be read; for longer ones the caller comes back.
const MAX_WAIT_MS: DurationMs = DurationMs(300);

/// Time after which the pause before a write is looked at again, as it is shorter once several versions serve.
const RECHECK_MS: DurationMs = DurationMs(1_000);

/// Maximum number of streams in one row, which has room for 2,500.
const MAX_BATCH_STREAMS: usize = 1_000;

/// Maximum number of origins that wait to be stored; the oldest are dropped, which expire first.
const MAX_UNSTORED: usize = 65_536;

/// Time for which it is remembered when a stream was first looked up.
const LOOKED_UP_MS: DurationMs = DurationMs(60_000);

/// Maximum number of streams for which that is remembered.
const MAX_LOOKED_UP: usize = 65_536;

/// Number of rows that one call reads.
const ROWS_PER_READ: usize = 500;

/// Maximum number of expired rows that one write removes.
const MAX_REMOVED_ROWS: usize = 50;

/// Time after its end for which a row of another router is left for that router to remove.
const LEFTOVER_MS: u64 = 30_000;

/// A call to the table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum OriginCall {
    /// Reads all origins.
    Read,
    /// Stores a batch.
    Write,
}

/// What the table says about the origin of a stream.
#[derive(Debug)]
pub(crate) enum Lookup {
    /// It began there.
    Found(StreamOrigin),
    /// No router has stored its origin, nor will one that is alive.
    Missing,
    /// The table cannot be read before this time has passed.
    Unread(DurationMs),
}

/// The table's clock, as an answer has told it.
#[derive(Clone, Copy, Debug)]
struct TableClock {
    table_ms: u64,
    read_at: TimeMs,
}

impl TableClock {
    fn now_ms(self, now: TimeMs) -> u64 {
        self.table_ms + now.since(self.read_at).0
    }
}

/// The last time that the table was read.
#[derive(Clone, Copy, Debug)]
struct LastRead {
    began_at: TimeMs,
    is_complete: bool,
}

/// Keys of the rows of this process.
#[derive(Clone, Copy, Debug)]
struct RowKeys {
    /// Time by the table's clock that sets this process apart from earlier ones on its VM.
    started_ms: u64,
    next: u64,
}

/// Origins that are stored, and those that are not stored yet.
pub(crate) struct OriginStore {
    table: Mutex<Box<dyn OriginTable>>,
    rates: TableRates,
    unstored: RefCell<VecDeque<OriginRecord>>,
    added: Notify,
    write_pace: Cell<CallPace>,
    keys: Cell<Option<RowKeys>>,
    /// Rows to be removed once they have expired, by the table's clock.
    rows: RefCell<VecDeque<(String, u64)>>,
    clock: Cell<Option<TableClock>>,
    /// Origins that were read.
    known: RefCell<OriginKeeper>,
    /// When streams were first looked up.
    looked_up: RefCell<HashMap<StreamKey, TimeMs>>,
    last_read: Cell<Option<LastRead>>,
    read_pace: Cell<CallPace>,
    /// Number of rows at the last read.
    row_count: Cell<usize>,
}

impl OriginStore {
    /// Creates the state before the table has been called.
    pub(crate) fn new(table: Box<dyn OriginTable>, rates: TableRates) -> Self {
        OriginStore {
            table: Mutex::new(table),
            rates,
            unstored: RefCell::default(),
            added: Notify::new(),
            write_pace: Cell::default(),
            keys: Cell::default(),
            rows: RefCell::default(),
            clock: Cell::default(),
            known: RefCell::default(),
            looked_up: RefCell::default(),
            last_read: Cell::default(),
            read_pace: Cell::default(),
            row_count: Cell::default(),
        }
    }

    /// Stores these origins again, in place of those that are not stored yet.
    pub(crate) fn replace(&self, records: Vec<OriginRecord>) {
        self.unstored.replace(records.into());
        self.added.notify_one();
    }

    /// Adds an origin that is to be stored.
    pub(crate) fn add(&self, record: OriginRecord) {
        let mut unstored = self.unstored.borrow_mut();
        if unstored.len() >= MAX_UNSTORED {
            unstored.pop_front();
        }
        unstored.push_back(record);
        self.added.notify_one();
    }

    /// Drops origins that have expired.
    pub(crate) fn expire(&self, now: TimeMs) {
        self.known.borrow_mut().expire(now);
        let is_recent = |at: &TimeMs| now.since(*at) < LOOKED_UP_MS;
        self.looked_up.borrow_mut().retain(|_, at| is_recent(at));
    }

    /// Returns the time between two writes of a router that has origins of these services to store.
    fn write_interval_ms<'a>(
        &self,
        shared: &Shared,
        mut services: impl Iterator<Item = &'a ServiceId>,
    ) -> DurationMs {
        let limit = match services.any(|service| shared.origins.is_mixed(service)) {
            true => CallLimit::WRITES,
            false => CallLimit::WRITES_OF_ONE_VERSION,
        };
        let routers = shared.placement.borrow().routers();
        limit.interval_ms(routers, 1, self.rates.writes_per_s)
    }

    fn write_pause_ms(&self, shared: &Shared) -> DurationMs {
        let unstored = self.unstored.borrow();
        let services = unstored.iter().map(|record| &record.origin.service);
        let interval_ms = self.write_interval_ms(shared, services);
        self.write_pace.get().pause_ms(interval_ms, shared.now())
    }

    fn read_pause_ms(&self, shared: &Shared) -> DurationMs {
        let routers = shared.placement.borrow().routers();
        let calls = self.row_count.get() / ROWS_PER_READ + 1;
        let interval_ms = CallLimit::READS.interval_ms(routers, calls, self.rates.reads_per_s);
        self.read_pace.get().pause_ms(interval_ms, shared.now())
    }

    /// Returns when a stream was first looked up.
    fn first_look_up(&self, stream: StreamKey, now: TimeMs) -> TimeMs {
        let mut looked_up = self.looked_up.borrow_mut();
        if looked_up.len() >= MAX_LOOKED_UP {
            // Callers of the dropped ones come back once more.
            looked_up.clear();
        }
        *looked_up.entry(stream).or_insert(now)
    }

    fn take_unstored(&self) -> Vec<OriginRecord> {
        let mut unstored = self.unstored.borrow_mut();
        let count = unstored.len().min(MAX_BATCH_STREAMS);
        unstored.drain(..count).collect()
    }

    /// Returns the key of the next row of this process.
    fn next_key(&self, shared: &Shared, table_ms: u64) -> String {
        let mut keys = self.keys.get().unwrap_or(RowKeys {
            started_ms: table_ms,
            next: 0,
        });
        let number = keys.next;
        keys.next += 1;
        self.keys.set(Some(keys));
        // The name of a VM may be longer than a key.
        let node = PrefixKey::root(shared.boot().node.as_str()).0;
        format!("{node:016x}/{:x}/{number}", keys.started_ms)
    }

    /// Returns the rows that have expired, without those that a write may not remove any more.
    fn take_expired(&self, table_ms: u64) -> Vec<String> {
        let mut rows = self.rows.borrow_mut();
        let mut expired = Vec::new();
        while expired.len() < MAX_REMOVED_ROWS {
            match rows.front() {
                Some((_, expires_ms)) if *expires_ms < table_ms => {
                    expired.extend(rows.pop_front().map(|(key, _)| key));
                }
                _ => break,
            }
        }
        expired
    }

    fn record_read(&self, stored: StoredOrigins, now: TimeMs) {
        self.clock.set(Some(TableClock {
            table_ms: stored.now_ms,
            read_at: now,
        }));
        self.row_count.set(stored.batches.len());
        for row in &stored.invalid {
            log::warn!(key = row.key.as_str(), detail = row.detail.as_str(); "ignoring stored origins");
        }
        let mut known = self.known.borrow_mut();
        let mut rows = self.rows.borrow_mut();
        for batch in stored.batches {
            let is_leftover = batch.expires_ms.saturating_add(LEFTOVER_MS) < stored.now_ms;
            if is_leftover && !rows.iter().any(|(key, _)| *key == batch.key) {
                rows.push_front((batch.key, batch.expires_ms));
                continue;
            }
            let retention_ms = DurationMs(batch.expires_ms.saturating_sub(stored.now_ms));
            for (stream, origin) in batch.origins {
                known.record(stream, origin, retention_ms, now);
            }
        }
    }
}

/// Stores origins as they are added, until the task is aborted.
pub(crate) async fn store_added(shared: Rc<Shared>) {
    let store = &shared.origins.store;
    loop {
        if store.unstored.borrow().is_empty() {
            store.added.notified().await;
        }
        // The pause becomes shorter when another version appears.
        match store.write_pause_ms(&shared) {
            DurationMs::ZERO => drop(store_batch(&shared).await),
            pause_ms => sleep(pause_ms.min(RECHECK_MS).into()).await,
        }
    }
}

/// Stores all that is not stored yet, without a pause; gives up at the first call that fails.
pub(crate) async fn flush(shared: &Shared) {
    let store = &shared.origins.store;
    while !store.unstored.borrow().is_empty() && store_batch(shared).await {}
}

/// Stores a batch of origins; returns whether the table took it.
async fn store_batch(shared: &Shared) -> bool {
    let store = &shared.origins.store;
    let records = store.take_unstored();
    if records.is_empty() {
        return true;
    }
    let services = records.iter().map(|record| &record.origin.service);
    let interval_ms = store.write_interval_ms(shared, services);
    let mut pace = store.write_pace.get();
    pace.record_start(shared.now());
    let mut table = store.table.lock().await;
    let result = write(shared, table.as_mut(), &records).await;
    drop(table);
    match &result {
        Ok(true) => {
            pace.record_success();
            log::info!(streams = records.len(), interval_ms = interval_ms.0; "stored where streams began");
        }
        Ok(false) => {
            log::warn!("the table came back from a copy or has a row of this process's name; storing all origins again");
            store.keys.set(None);
            store.clock.set(None);
            store.replace(shared.origins.own_records(shared.now()));
        }
        Err(e) => {
            log::warn!(streams = records.len(), error:% = e; "cannot store origins of streams");
            pace.record_failure(shared.now());
            let mut unstored = store.unstored.borrow_mut();
            records
                .into_iter()
                .rev()
                .for_each(|record| unstored.push_front(record));
        }
    }
    store.write_pace.set(pace);
    shared
        .metrics
        .record_origin_call(OriginCall::Write, result.is_ok());
    matches!(result, Ok(true))
}

async fn write(
    shared: &Shared,
    table: &mut dyn OriginTable,
    records: &[OriginRecord],
) -> Result<bool, FeedError> {
    let store = &shared.origins.store;
    let clock = match store.clock.get() {
        Some(clock) => clock,
        // The table's clock is known once it has been read.
        None => {
            read(shared, table).await?;
            store.clock.get().ok_or(FeedError::Expired)?
        }
    };
    let table_ms = clock.now_ms(shared.now());
    let retention_ms = records.iter().map(|record| record.retention_ms.0).max();
    let origin = |record: &OriginRecord| (record.stream, record.origin.clone());
    let batch = OriginBatch {
        key: store.next_key(shared, table_ms),
        expires_ms: table_ms + retention_ms.unwrap_or_default(),
        origins: records.iter().map(origin).collect(),
    };
    let expired = store.take_expired(table_ms);
    let row = (batch.key.clone(), batch.expires_ms);
    store.rows.borrow_mut().push_back(row);
    table.write(&batch, &expired, CALL_TIMEOUT_MS).await
}

/// Reads all that is stored.
async fn read(shared: &Shared, table: &mut dyn OriginTable) -> Result<(), FeedError> {
    let store = &shared.origins.store;
    let began_at = shared.now();
    let mut pace = store.read_pace.get();
    pace.record_start(began_at);
    let result = table.read(CALL_TIMEOUT_MS).await;
    store.last_read.set(Some(LastRead {
        began_at,
        is_complete: result.is_ok(),
    }));
    match &result {
        Ok(_) => pace.record_success(),
        Err(e) => {
            log::warn!(error:% = e; "cannot read stored origins of streams");
            pace.record_failure(shared.now());
        }
    }
    store.read_pace.set(pace);
    shared
        .metrics
        .record_origin_call(OriginCall::Read, result.is_ok());
    store.record_read(result?, shared.now());
    Ok(())
}

/// Looks up where a stream began that no live process knows.
///
/// A router that is alive may not have stored the origin yet, so it is missing only if the table has been read after
/// the pause between two writes has passed since the stream was first looked up.
pub(crate) async fn look_up(shared: &Shared, stream: StreamKey, services: &[ServiceId]) -> Lookup {
    let store = &shared.origins.store;
    let interval_ms = store.write_interval_ms(shared, services.iter());
    let missing_at = store.first_look_up(stream, shared.now()) + interval_ms;
    loop {
        let asked_at = shared.now();
        if let Err(pause_ms) = read_since(shared, asked_at).await {
            return Lookup::Unread(pause_ms);
        }
        if let Some(origin) = store.known.borrow().get(stream, shared.now()) {
            return Lookup::Found(origin.clone());
        }
        if asked_at >= missing_at {
            return Lookup::Missing;
        }
        let pause_ms = missing_at.since(shared.now());
        if pause_ms > MAX_WAIT_MS {
            return Lookup::Unread(pause_ms);
        }
        sleep(pause_ms.into()).await;
    }
}

/// Makes sure that the table has been read since a moment; requests that wait at the same time share a read.
///
/// # Errors
///
/// Returns the time after which it may be read.
async fn read_since(shared: &Shared, asked_at: TimeMs) -> Result<(), DurationMs> {
    let store = &shared.origins.store;
    let mut table = store.table.lock().await;
    let pause_ms = || store.read_pause_ms(shared);
    if let Some(last) = store.last_read.get() {
        if last.began_at >= asked_at {
            return match last.is_complete {
                true => Ok(()),
                false => Err(pause_ms()),
            };
        }
    }
    if pause_ms() > MAX_WAIT_MS {
        return Err(pause_ms());
    }
    sleep(pause_ms().into()).await;
    let result = read(shared, table.as_mut()).await;
    result.map_err(|_| pause_ms())
}
