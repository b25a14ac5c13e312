//! A small HTTP/1.1 client and the reader of requests, for loopback addresses.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// `Message` is a request or an answer: its first line, its headers and body.
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Reads one message; `None` if the connection was closed before it.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut first_line = String::new();
    if reader.read_line(&mut first_line)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((key, value)) = line.split_once(':') {
            headers.push((key.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    let mut message = Message {
        first_line: first_line.trim_end().to_owned(),
        headers,
        body: String::new(),
    };
    let mut body = Vec::new();
    if message.header("transfer-encoding") == Some("chunked") {
        loop {
            let mut size = String::new();
            reader.read_line(&mut size)?;
            let size = usize::from_str_radix(size.trim(), 16).map_err(io::Error::other)?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                break;
            }
            body.extend_from_slice(&chunk[..size]);
        }
    } else if let Some(length) = message.header("content-length") {
        body = vec![0; length.parse().map_err(io::Error::other)?];
        reader.read_exact(&mut body)?;
    }
    message.body = String::from_utf8_lossy(&body).into_owned();
    Ok(Some(message))
}

/// `Channel` is one open connection on which requests are sent in turn.
pub struct Channel {
    pub address: SocketAddr,
    reader: BufReader<TcpStream>,
}

impl Channel {
    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, timeout)?;
        stream.set_nodelay(true)?;
        let reader = BufReader::new(stream);
        Ok(Self { address, reader })
    }

    /// Sends the whole request.
    pub fn send(&mut self, request: &str) -> io::Result<()> {
        self.reader.get_mut().write_all(request.as_bytes())
    }

    /// Waits for the answer; an error after `timeout`.
    pub fn answer(&mut self, timeout: Duration) -> io::Result<Message> {
        let stream = self.reader.get_mut();
        stream.set_read_timeout(Some(timeout.max(Duration::from_millis(1))))?;
        read_message(&mut self.reader)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }

    /// Closes the sending direction, as the kernel does for a process that has
    /// closed its socket.
    pub fn finish(&mut self) {
        let _ = self.reader.get_mut().shutdown(std::net::Shutdown::Write);
    }
}

/// Formats a request.
pub fn request(method: &str, host: &str, path: &str, headers: &str, body: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n\
         {headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Sends one request on a new connection.
pub fn call(address: SocketAddr, request: &str, timeout: Duration) -> io::Result<Message> {
    let mut channel = Channel::open(address, timeout)?;
    channel.send(request)?;
    channel.answer(timeout)
}

/// Gets a number or a text of a flat JSON object. The stand-ins read only
/// objects whose texts hold no escaped characters.
pub fn field<'a>(json: &'a str, name: &str) -> Option<&'a str> {
    let start = json.find(&format!("\"{name}\":"))? + name.len() + 3;
    let rest = json[start..].trim_start();
    match rest.strip_prefix('"') {
        Some(text) => text.split('"').next(),
        None => rest.split([',', '}', ']']).next().map(str::trim),
    }
}

pub fn number(json: &str, name: &str) -> Option<u64> {
    field(json, name)?.parse().ok()
}
