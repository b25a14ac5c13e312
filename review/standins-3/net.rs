//! HTTP/1.1 and JSON for the stand-ins, with the standard library only.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::process::Command;
use std::sync::Arc;
use std::time::Duration;

/// `Json` is a JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = parse_value(bytes, &mut at)?;
        skip_space(bytes, &mut at);
        (at == bytes.len()).then_some(value)
    }

    pub fn get(&self, key: &str) -> Option<&Json> {
        match self {
            Json::Table(table) => table.get(key),
            _ => None,
        }
    }

    pub fn text(&self, key: &str) -> Option<&str> {
        match self.get(key) {
            Some(Json::Text(text)) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self, key: &str) -> Option<u64> {
        match self.get(key) {
            // Every integer on this wire is below 2^53.
            Some(Json::Number(number)) => Some(*number as u64),
            _ => None,
        }
    }
}

fn skip_space(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn parse_value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip_space(bytes, at);
    match bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut table = BTreeMap::new();
            loop {
                skip_space(bytes, at);
                match bytes.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Table(table));
                    }
                    b',' => *at += 1,
                    _ => {
                        let Json::Text(key) = parse_value(bytes, at)? else {
                            return None;
                        };
                        skip_space(bytes, at);
                        if *bytes.get(*at)? != b':' {
                            return None;
                        }
                        *at += 1;
                        let value = parse_value(bytes, at)?;
                        table.insert(key, value);
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip_space(bytes, at);
                match bytes.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(list));
                    }
                    b',' => *at += 1,
                    _ => list.push(parse_value(bytes, at)?),
                }
            }
        }
        b'"' => {
            *at += 1;
            let mut text = Vec::new();
            loop {
                match bytes.get(*at)? {
                    b'"' => {
                        *at += 1;
                        return Some(Json::Text(String::from_utf8(text).ok()?));
                    }
                    b'\\' => {
                        // The texts on this wire need no other escapes.
                        text.push(*bytes.get(*at + 1)?);
                        *at += 2;
                    }
                    byte => {
                        text.push(*byte);
                        *at += 1;
                    }
                }
            }
        }
        b't' => word(bytes, at, "true", Json::Bool(true)),
        b'f' => word(bytes, at, "false", Json::Bool(false)),
        b'n' => word(bytes, at, "null", Json::Null),
        _ => {
            let start = *at;
            while bytes
                .get(*at)
                .is_some_and(|byte| b"+-.eE0123456789".contains(byte))
            {
                *at += 1;
            }
            let text = std::str::from_utf8(&bytes[start..*at]).ok()?;
            Some(Json::Number(text.parse().ok()?))
        }
    }
}

fn word(bytes: &[u8], at: &mut usize, text: &str, value: Json) -> Option<Json> {
    let found = bytes.get(*at..*at + text.len())? == text.as_bytes();
    *at += text.len();
    found.then_some(value)
}

/// `Message` is a request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first_line: String,
    /// Headers with names in lower case.
    pub headers: BTreeMap<String, String>,
    pub body: String,
}

impl Message {
    /// Gets the status of a response.
    pub fn status(&self) -> u16 {
        let mut words = self.first_line.split(' ');
        words.nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    /// Gets the path of a request.
    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    pub fn json(&self) -> Option<Json> {
        Json::parse(&self.body)
    }
}

/// Reads one message; `None` if the peer has closed the connection before it.
pub fn read_message<R: Read>(reader: &mut BufReader<R>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    if reader.read_line(&mut message.first_line)? == 0 {
        return Ok(None);
    }
    message.first_line = message.first_line.trim_end().to_owned();
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
            let name = name.trim().to_ascii_lowercase();
            message.headers.insert(name, value.trim().to_owned());
        }
    }
    let length = message.headers.get("content-length");
    let length = length.and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    message.body = String::from_utf8_lossy(&body).into_owned();
    Ok(Some(message))
}

/// Encodes a request; the host name is that of the queue of the tests.
pub fn request_text(method: &str, path: &str, headers: &str, body: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: orders.example\r\nContent-Type: application/json\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Sends a request on a new connection and waits for the response.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &str,
    body: &str,
    timeout: Duration,
) -> io::Result<Message> {
    let stream = TcpStream::connect_timeout(&to, timeout)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    (&stream).write_all(request_text(method, path, headers, body).as_bytes())?;
    let answer = read_message(&mut BufReader::new(&stream))?;
    answer.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// Serves requests on an address, each connection in a thread of its own. A
/// request for which the handler returns `None` gets no answer, and neither do
/// later ones on its connection.
pub fn serve<F>(listen: SocketAddr, handler: F) -> io::Result<()>
where
    F: Fn(&Message) -> Option<(u16, String)> + Send + Sync + 'static,
{
    let listener = TcpListener::bind(listen)?;
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            std::thread::spawn(move || serve_connection(&stream, handler.as_ref()));
        }
    });
    Ok(())
}

fn serve_connection(stream: &TcpStream, handler: &dyn Fn(&Message) -> Option<(u16, String)>) {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream);
    while let Ok(Some(request)) = read_message(&mut reader) {
        let Some((status, body)) = handler(&request) else {
            let _ = io::copy(&mut reader, &mut io::sink());
            return;
        };
        let text = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        if { stream }.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}

#[repr(C)]
struct Linger {
    on: i32,
    seconds: i32,
}

unsafe extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const Linger, length: u32) -> i32;
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64, three: u64, four: u64, five: u64) -> i32;
}

const PR_SET_PDEATHSIG: i32 = 1;

/// Lets a process end with this program, also if this program is killed.
pub fn end_with_parent(command: &mut Command) {
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL as u64, 0, 0, 0);
            Ok(())
        });
    }
}

const SOL_SOCKET: i32 = 1;
const SO_LINGER: i32 = 13;

/// Resets a connection.
pub fn reset(stream: TcpStream) {
    let linger = Linger { on: 1, seconds: 0 };
    unsafe {
        setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, &linger, 8);
    }
    let _ = stream.shutdown(std::net::Shutdown::Read);
    drop(stream);
}

pub const SIGKILL: i32 = 9;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// Sends a signal to a process that this program has started.
pub fn signal(pid: u32, signal: i32) {
    unsafe {
        kill(pid as i32, signal);
    }
}
