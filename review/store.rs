//! The platform's store and cloud: the calls that the entries make, kept in memory.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Conn;
use crate::http::Head;
use crate::http::respond;

type Topics = HashMap<String, Vec<Vec<u8>>>;

/// The store; clones share its contents.
#[derive(Clone, Default)]
pub struct Store {
    topics: Arc<(Mutex<Topics>, Condvar)>,
    usage: Arc<Mutex<Vec<String>>>,
}

/// Addresses that a listener of the store states instead of others: an entry that reaches the servers
/// through links of its own reads the addresses of these links.
pub type View = Vec<(String, String)>;

impl Store {
    /// Serves the store on a free port.
    pub fn serve(&self, view: View) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, view) = (store.clone(), view.clone());
                thread::spawn(move || store.serve_connection(stream, &view));
            }
        });
        address
    }

    /// Writes the newest value of a key, as the operator or a server does.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        let (topics, changed) = &*self.topics;
        let mut topics = topics.lock().unwrap();
        topics.entry(topic.to_owned()).or_default().push(record);
        changed.notify_all();
    }

    /// Returns the bodies of all usage reports.
    pub fn usage(&self) -> Vec<String> {
        self.usage.lock().unwrap().clone()
    }

    fn serve_connection(&self, stream: TcpStream, view: &View) {
        let mut conn = Conn::new(stream);
        while let Ok(Some(head)) = conn.read_head() {
            let Ok(Some(body)) = conn.read_body(&head) else {
                return;
            };
            let (status, answer) = match head.path() {
                "/log-newest" => (200, self.newest(&head, view)),
                "/log-read" => self.read(&head, view),
                "/log-append" => self.append(&head, &body),
                "/usage" => {
                    let text = String::from_utf8_lossy(&body).into_owned();
                    self.usage.lock().unwrap().push(text);
                    (200, Vec::new())
                }
                "/scale" => (200, Vec::new()),
                _ => (404, Vec::new()),
            };
            if respond(&mut conn.stream, status, &[], &answer).is_err() {
                return;
            }
        }
    }

    fn append(&self, head: &Head, body: &[u8]) -> (u16, Vec<u8>) {
        let (topics, changed) = &*self.topics;
        let mut topics = topics.lock().unwrap();
        let name = head.query("Topic").unwrap_or_default();
        let records = topics.entry(name.to_owned()).or_default();
        let end = records.len();
        let at = head.query("At").and_then(|at| at.parse::<usize>().ok());
        if at.is_some_and(|at| at != end) {
            return (412, format!("{{\"EndOffset\":{end}}}").into_bytes());
        }
        records.push(body.get(4..).unwrap_or_default().to_vec());
        changed.notify_all();
        let answer = format!("{{\"Offset\":{end},\"EndOffset\":{}}}", end + 1);
        (200, answer.into_bytes())
    }

    fn read(&self, head: &Head, view: &View) -> (u16, Vec<u8>) {
        let number = |name| head.query(name).and_then(|n| n.parse::<u64>().ok());
        let name = head.query("Topic").unwrap_or_default();
        let from = number("From").unwrap_or(0) as usize;
        let until = Instant::now() + Duration::from_millis(number("WaitMs").unwrap_or(0));
        let (topics, changed) = &*self.topics;
        let mut topics = topics.lock().unwrap();
        loop {
            let records = topics.entry(name.to_owned()).or_default();
            if from > records.len() {
                return (410, b"{\"First\":0}".to_vec());
            }
            let left = until.saturating_duration_since(Instant::now());
            if from < records.len() || left.is_zero() {
                let mut bytes = (records.len() as u64).to_be_bytes().to_vec();
                bytes.extend_from_slice(&0_u64.to_be_bytes());
                for record in &records[from..] {
                    let record = replaced(record, view);
                    bytes.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    bytes.extend_from_slice(&record);
                }
                return (200, bytes);
            }
            topics = changed.wait_timeout(topics, left).unwrap().0;
        }
    }

    fn newest(&self, head: &Head, view: &View) -> Vec<u8> {
        let topics = self.topics.0.lock().unwrap();
        let records = topics.get(head.query("Topic").unwrap_or_default());
        let records = records.cloned().unwrap_or_default();
        let mut newest: Vec<(String, usize, Vec<u8>)> = Vec::new();
        for (offset, record) in records.iter().enumerate() {
            let length = usize::from(record[0]);
            let key = String::from_utf8_lossy(&record[1..=length]).into_owned();
            newest.retain(|(known, ..)| *known != key);
            newest.push((key, offset, record[length + 1..].to_vec()));
        }
        let items: Vec<String> = newest
            .iter()
            .filter(|(.., value)| !value.is_empty())
            .map(|(key, offset, value)| {
                let value = base64(&replaced(value, view));
                format!("{{\"Key\":\"{key}\",\"Value\":\"{value}\",\"Offset\":{offset}}}")
            })
            .collect();
        format!(
            "{{\"Items\":[{}],\"MorePages\":false,\"EndOffset\":{}}}",
            items.join(","),
            records.len()
        )
        .into_bytes()
    }
}

fn replaced(bytes: &[u8], view: &View) -> Vec<u8> {
    let Ok(text) = std::str::from_utf8(bytes) else {
        return bytes.to_vec();
    };
    let text = view.iter().fold(text.to_owned(), |text, (from, to)| {
        text.replace(&format!("\"{from}\""), &format!("\"{to}\""))
    });
    text.into_bytes()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |i: usize| u32::from(chunk.get(i).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            let index = (bits >> (18 - 6 * digit)) & 63;
            let is_filled = digit <= chunk.len();
            text.push(if is_filled { char::from(DIGITS[index as usize]) } else { '=' });
        }
    }
    text
}
