//! Reads and writes HTTP/1.1 messages, one thread a connection.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::thread;
use std::time::Duration;

/// The head and body of a request or of a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body came to its end.
    pub complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, value)| &**value)
    }

    pub fn word(&self, n: usize) -> &str {
        self.first.split(' ').nth(n).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    /// Returns a parameter of the query of a request's target.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.word(1).split_once('?')?;
        let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
        pairs
            .find(|(n, _)| *n == name)
            .map(|(_, value)| percent_decode(value))
    }

    pub fn path(&self) -> &str {
        self.word(1).split('?').next().unwrap_or("")
    }
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            let hex = std::str::from_utf8(&bytes[at + 1..at + 3]).unwrap_or("3f");
            out.push(u8::from_str_radix(hex, 16).unwrap_or(b'?'));
            at += 3;
        } else {
            out.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads a message. `None` at the end of the connection before it.
pub fn read_message<R: BufRead>(reader: &mut R) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.first = line.trim_end().to_owned();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }
    let length = message.header("content-length").and_then(|l| l.parse().ok());
    let chunked = message.header("transfer-encoding").is_some();
    if let Some(length) = length {
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        message.body = body;
        message.complete = true;
    } else if chunked {
        message.complete = read_chunks(reader, &mut message.body).is_ok();
    } else {
        message.complete = true;
    }
    Ok(Some(message))
}

fn read_chunks<R: BufRead>(reader: &mut R, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk)?;
        if size == 0 {
            return Ok(());
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

/// Next port to try. The ports are below those that the system gives to connections, so
/// that none takes the port of a listener which is closed for a while.
static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// Listens on a free port.
pub fn listen() -> TcpListener {
    const FIRST: u16 = 12_000;
    const COUNT: u16 = 18_000;
    let start = (std::process::id() % u32::from(COUNT)) as u16;
    for _ in 0..COUNT {
        let n = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST + ((u32::from(start) + u32::from(n)) % u32::from(COUNT)) as u16;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener;
        }
    }
    panic!("no port is free");
}

/// Serves each connection to `listener` with `serve` on a thread of its own.
pub fn serve_connections<F>(listener: TcpListener, serve: F)
where
    F: Fn(TcpStream) -> io::Result<()> + Send + Sync + 'static,
{
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = Arc::clone(&serve);
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let _ = serve(stream);
            });
        }
    });
}

pub fn write_json(stream: &mut TcpStream, status: &str, body: &str) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all((head + body).as_bytes())
}

/// Sends a request on a new connection and reads the response to its end.
pub fn exchange(addr: SocketAddr, request: &str, limit: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.write_all(request.as_bytes())?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let message = read_message(&mut reader)?;
    message.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
