//! Clients of streams, which take them up where they break off.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use super::FIRST_MODEL;
use crate::record::Record;
use crate::site::Site;

const DEADLINE: Duration = Duration::from_secs(15);

/// Tries of a client for one stream.
const TRIES: usize = 4;

/// What the clients have seen.
#[derive(Default)]
pub struct Totals {
    /// Streams, and those that began.
    pub new: u32,
    pub began: u32,
    /// Streams that were taken up, and those that then went on.
    pub taken_up: u32,
    pub went_on: u32,
    /// Streams that hold events of two software versions.
    pub joined: u32,
}

/// Running clients.
pub struct Clients {
    ended: Arc<AtomicBool>,
    pub totals: Arc<Mutex<Totals>>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Clients {
    /// Starts clients of streams with this number of events.
    pub fn start(site: &Site, numbers: std::ops::Range<usize>, events: u32) -> Self {
        let (ended, totals) = (Arc::default(), Arc::default());
        let threads = numbers.map(|number| {
            let client = Client {
                number,
                events,
                gateways: site.gateways.clone(),
                record: site.record.clone(),
                ended: Arc::clone(&ended),
                totals: Arc::clone(&totals),
            };
            thread::spawn(move || client.run())
        });
        Clients {
            threads: threads.collect(),
            ended,
            totals,
        }
    }

    /// Waits until the streams that run have ended.
    pub fn stop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

struct Client {
    number: usize,
    events: u32,
    gateways: Vec<SocketAddr>,
    record: Record,
    ended: Arc<AtomicBool>,
    totals: Arc<Mutex<Totals>>,
}

/// What a client has of a stream.
#[derive(Default)]
struct Stream {
    /// The attempt that brought the first event.
    began: Option<String>,
    last_event: u32,
    versions: Vec<String>,
    is_complete: bool,
}

impl Client {
    fn run(self) {
        let mut turn = 0;
        while !self.ended.load(Ordering::Relaxed) {
            turn += 1;
            self.ask(turn);
        }
    }

    /// Asks for one stream, and takes it up where it breaks off, at another gateway.
    fn ask(&self, turn: usize) {
        let until = Instant::now() + DEADLINE;
        let mut stream = Stream::default();
        let (mut is_taken_up, mut went_on) = (false, false);
        for attempt in 0..TRIES {
            let id = format!("c{}t{turn}a{attempt}", self.number);
            let gateway = self.gateways[(self.number + attempt) % self.gateways.len()];
            let (had_begun, last_event) = (stream.began.is_some(), stream.last_event);
            // An error means that the connection broke; the client takes the stream up.
            let _ = self.attempt(gateway, &id, &mut stream, until);
            is_taken_up |= had_begun;
            went_on |= had_begun && stream.last_event > last_event;
            if stream.is_complete || Instant::now() > until {
                break;
            }
            thread::sleep(self.pause());
        }
        let mut totals = self.totals.lock().expect("no thread has panicked");
        totals.new += 1;
        totals.began += u32::from(stream.began.is_some());
        totals.taken_up += u32::from(is_taken_up);
        totals.went_on += u32::from(went_on);
        if stream.versions.len() > 1 {
            totals.joined += 1;
            self.record.line(&format!(
                "the stream that attempt {} began holds events of {}",
                stream.began.unwrap_or_default(),
                stream.versions.join(" and ")
            ));
        }
    }

    /// Returns the pause before the next try, which differs from client to client.
    fn pause(&self) -> Duration {
        Duration::from_millis(600 + self.number as u64 * 37 % 400)
    }

    fn attempt(
        &self,
        gateway: SocketAddr,
        id: &str,
        stream: &mut Stream,
        until: Instant,
    ) -> io::Result<()> {
        let mut connection = TcpStream::connect_timeout(&gateway, Duration::from_secs(1))?;
        connection.set_read_timeout(Some(Duration::from_secs(2)))?;
        let left_ms = until.saturating_duration_since(Instant::now()).as_millis();
        let mut head = format!(
            "POST /ask/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: {left_ms}\r\n\
             Authorization: Bearer k1\r\nModel: {FIRST_MODEL}\r\nToken-Usage: 1460,64\r\n\
             Prompt-Prefix: 5c1e07a{}:800,{id}:660\r\nContent-Length: 6\r\nConnection: close\r\n",
            self.number % 6
        );
        head = head.replace(&format!("{id}:660"), &format!("{:08x}:660", self.number));
        if let Some(began) = &stream.began {
            head.push_str(&format!(
                "Resumes: {began}\r\nLast-Event-Id: {}\r\n",
                stream.last_event
            ));
            self.record.line(&format!(
                "attempt {id} takes up the stream of {began} after event {}",
                stream.last_event
            ));
        }
        connection.write_all(format!("{head}\r\nprompt").as_bytes())?;
        let mut reader = BufReader::new(connection);
        let mut line = String::new();
        reader.read_line(&mut line)?;
        if !line.starts_with("HTTP/1.1 200") {
            self.record
                .line(&format!("attempt {id} answered {}", line.trim_end()));
            return Ok(());
        }
        let mut event = 0;
        loop {
            line.clear();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            if let Some(number) = line.strip_prefix("id: ") {
                event = number.trim_end().parse().unwrap_or(0);
            }
            if let Some(data) = line.strip_prefix("data: ") {
                let version = data.split(' ').next().unwrap_or_default().to_owned();
                if stream.began.is_none() {
                    stream.began = Some(id.to_owned());
                }
                if !stream.versions.contains(&version) {
                    if !stream.versions.is_empty() {
                        let data = data.trim_end();
                        self.record
                            .line(&format!("attempt {id} got event {event} from {data}"));
                    }
                    stream.versions.push(version);
                }
                stream.last_event = event;
                stream.is_complete = event == self.events;
            }
            if stream.is_complete {
                return Ok(());
            }
        }
    }
}
