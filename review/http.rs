//! The little HTTP/1.1 that the stand-ins need, on blocking sockets.

use std::io::ErrorKind;
use std::io::Read;
use std::io::Result;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::time::Duration;
use std::time::Instant;

unsafe extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

const SOL_SOCKET: i32 = 1;
const SO_LINGER: i32 = 13;

/// Makes the connection end with a reset when its last descriptor is closed.
pub fn reset_on_close(stream: &TcpStream) {
    let linger = [1_i32, 0];
    // SAFETY: `linger` has the layout of `struct linger` and outlives the call.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, linger.as_ptr(), 8) };
}

/// First line and headers of a message.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the request target.
    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the path of the request target.
    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    /// Returns a parameter of the query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.target().split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(n, _)| *n == name).map(|(_, value)| value)
    }

    /// Returns the status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        let status = self.line.split(' ').nth(1);
        status.and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// A connection with what was read ahead.
pub struct Conn {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Connects within a second.
    pub fn open(address: SocketAddr) -> Result<Self> {
        TcpStream::connect_timeout(&address, Duration::from_secs(1)).map(Self::new)
    }

    fn fill(&mut self) -> Result<usize> {
        let mut bytes = [0; 16 * 1024];
        loop {
            match self.stream.read(&mut bytes) {
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
                Ok(count) => {
                    self.buffer.extend_from_slice(&bytes[..count]);
                    return Ok(count);
                }
            }
        }
    }

    fn read_until(&mut self, mark: &[u8]) -> Result<Option<Vec<u8>>> {
        loop {
            if let Some(at) = self.buffer.windows(mark.len()).position(|w| w == mark) {
                return Ok(Some(self.buffer.drain(..at + mark.len()).collect()));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    fn read_exactly(&mut self, length: usize) -> Result<Option<Vec<u8>>> {
        while self.buffer.len() < length {
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
        Ok(Some(self.buffer.drain(..length).collect()))
    }

    /// Reads a head; `None` if the connection ends first.
    pub fn read_head(&mut self) -> Result<Option<Head>> {
        let Some(bytes) = self.read_until(b"\r\n\r\n")? else {
            return Ok(None);
        };
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let mut lines = text.trim_end().lines();
        let line = lines.next().unwrap_or_default().to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers.map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned()));
        Ok(Some(Head {
            line,
            headers: headers.collect(),
        }))
    }

    /// Reads the body of a request, or of a response that states its end; `None` if it breaks off.
    pub fn read_body(&mut self, head: &Head) -> Result<Option<Vec<u8>>> {
        if head.get("Transfer-Encoding").is_some() {
            let mut body = Vec::new();
            loop {
                let Some(line) = self.read_until(b"\r\n")? else {
                    return Ok(None);
                };
                let line = String::from_utf8_lossy(&line).into_owned();
                let size = line.trim().split(';').next().unwrap_or_default().to_owned();
                let Ok(size) = usize::from_str_radix(&size, 16) else {
                    return Ok(None);
                };
                let Some(chunk) = self.read_exactly(size + 2)? else {
                    return Ok(None);
                };
                if size == 0 {
                    return Ok(Some(body));
                }
                body.extend_from_slice(&chunk[..size]);
            }
        }
        let length = head.get("Content-Length").and_then(|l| l.parse().ok());
        self.read_exactly(length.unwrap_or(0))
    }
}

/// What a client got for a request.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Status; 0 if the connection ended, or the client's time was over, without a complete answer.
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
    pub took: Duration,
}

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Call {
    pub method: &'static str,
    pub path: String,
    pub id: String,
    pub deadline_ms: u64,
    pub extra: String,
    pub body: Vec<u8>,
}

impl Call {
    fn encode(&self) -> Vec<u8> {
        let mut bytes = format!(
            "{} {} HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: {}\r\nApi-Key: key-of-balaton\r\n\
             Deadline-Ms: {}\r\n{}Content-Length: {}\r\n\r\n",
            self.method,
            self.path,
            self.id,
            self.deadline_ms,
            self.extra,
            self.body.len()
        )
        .into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }

    /// Sends the request on a connection and waits for the answer until the deadline.
    pub fn send_on(&self, conn: &mut Conn) -> Reply {
        let started = Instant::now();
        let answer = self.exchange(conn);
        let (status, head, body) = match answer {
            Ok(Some((head, body))) => (head.status(), head, body),
            _ => (0, Head::default(), Vec::new()),
        };
        Reply {
            status,
            head,
            body,
            took: started.elapsed(),
        }
    }

    fn exchange(&self, conn: &mut Conn) -> Result<Option<(Head, Vec<u8>)>> {
        let wait = Duration::from_millis(self.deadline_ms.max(1));
        conn.stream.set_read_timeout(Some(wait))?;
        conn.stream.write_all(&self.encode())?;
        let Some(head) = conn.read_head()? else {
            return Ok(None);
        };
        let body = conn.read_body(&head)?;
        Ok(body.map(|body| (head, body)))
    }

    /// Sends the request on a new connection.
    pub fn send(&self, address: SocketAddr) -> Reply {
        let started = Instant::now();
        match Conn::open(address) {
            Ok(mut conn) => self.send_on(&mut conn),
            Err(_) => Reply {
                status: 0,
                head: Head::default(),
                body: Vec::new(),
                took: started.elapsed(),
            },
        }
    }
}

/// Writes a complete response with a length.
pub fn respond(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Result<()> {
    let mut bytes = format!("HTTP/1.1 {status} Status\r\n").into_bytes();
    for (name, value) in headers {
        bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}
