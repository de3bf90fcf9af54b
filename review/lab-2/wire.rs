//! Bytes on the wire: HTTP/1.1 messages and the few parts of JSON that the stand-ins read.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Returns the raw text of a field of a JSON object, without decoding it.
pub fn field(object: &[u8], key: &str) -> Option<Vec<u8>> {
    let mut at = skip_space(object, 0);
    if object.get(at) != Some(&b'{') {
        return None;
    }
    at += 1;
    loop {
        at = skip_space(object, at);
        match object.get(at)? {
            b'}' => return None,
            b',' => {
                at += 1;
                continue;
            }
            _ => {}
        }
        let name_end = value_end(object, at)?;
        let name = &object[at + 1..name_end - 1];
        at = skip_space(object, name_end);
        if object.get(at) != Some(&b':') {
            return None;
        }
        let begin = skip_space(object, at + 1);
        let end = value_end(object, begin)?;
        if name == key.as_bytes() {
            return Some(object[begin..end].to_vec());
        }
        at = end;
    }
}

/// Returns the text of a field without quotes.
pub fn text_field(object: &[u8], key: &str) -> Option<String> {
    let raw = String::from_utf8(field(object, key)?).ok()?;
    Some(raw.trim_matches('"').to_string())
}

fn skip_space(bytes: &[u8], mut at: usize) -> usize {
    while bytes.get(at).is_some_and(u8::is_ascii_whitespace) {
        at += 1;
    }
    at
}

fn value_end(bytes: &[u8], begin: usize) -> Option<usize> {
    let mut at = begin;
    let mut depth = 0_usize;
    loop {
        match bytes.get(at)? {
            b'"' => {
                at += 1;
                while *bytes.get(at)? != b'"' {
                    at += if bytes[at] == b'\\' { 2 } else { 1 };
                }
                at += 1;
                if depth == 0 {
                    return Some(at);
                }
            }
            b'{' | b'[' => {
                depth += 1;
                at += 1;
            }
            b'}' | b']' if depth == 0 => return Some(at),
            b'}' | b']' => {
                depth -= 1;
                at += 1;
                if depth == 0 {
                    return Some(at);
                }
            }
            b',' if depth == 0 => return Some(at),
            _ => at += 1,
        }
    }
}

/// A message: its first line, its headers in lower case, and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body came to its marked end.
    pub is_complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(it, _)| it == name).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads messages from a connection.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn open(stream: TcpStream) -> Reader {
        Reader { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0_u8; 16_384];
        let count = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.buffer.iter().position(|it| *it == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                return Ok(Some(String::from_utf8_lossy(&line).trim_end().to_string()));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    /// Reads the head of a message. `None` if the connection ends before it.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        let Some(start) = self.line()? else { return Ok(None) };
        let mut message = Message { start, ..Message::default() };
        loop {
            let Some(line) = self.line()? else { return Ok(None) };
            if line.is_empty() {
                return Ok(Some(message));
            }
            if let Some((name, value)) = line.split_once(':') {
                message.headers.push((name.trim().to_ascii_lowercase(), value.trim().to_string()));
            }
        }
    }

    fn take(&mut self, count: usize) -> io::Result<Option<Vec<u8>>> {
        while self.buffer.len() < count {
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
        Ok(Some(self.buffer.drain(..count).collect()))
    }

    /// Reads the body of a message. A request without a length has none.
    pub fn body(&mut self, message: &mut Message, is_response: bool) -> io::Result<()> {
        let is_chunked =
            message.header("transfer-encoding").is_some_and(|it| it.contains("chunked"));
        if is_chunked {
            loop {
                let Some(size) = self.line()? else { return Ok(()) };
                let size = usize::from_str_radix(size.trim(), 16).unwrap_or(0);
                let Some(chunk) = self.take(size)? else {
                    message.body.append(&mut self.buffer);
                    return Ok(());
                };
                message.body.extend_from_slice(&chunk);
                if self.line()?.is_none() {
                    return Ok(());
                }
                if size == 0 {
                    message.is_complete = true;
                    return Ok(());
                }
            }
        }
        if let Some(length) = message.header("content-length").and_then(|it| it.parse().ok()) {
            match self.take(length)? {
                Some(body) => {
                    message.body = body;
                    message.is_complete = true;
                }
                None => message.body.append(&mut self.buffer),
            }
            return Ok(());
        }
        if is_response {
            while self.fill()? > 0 {}
            message.body.append(&mut self.buffer);
        }
        message.is_complete = !is_response;
        Ok(())
    }

    pub fn request(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.head()? else { return Ok(None) };
        self.body(&mut message, false)?;
        Ok(Some(message))
    }
}

/// How an exchange ended for the client.
#[derive(Clone, Debug)]
pub enum Answer {
    Got(Message),
    /// The connection ended or failed without a whole head.
    None(String),
}

/// A client's connection.
pub struct Client {
    reader: Reader,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Client> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(12)))?;
        Ok(Client { reader: Reader::open(stream) })
    }

    pub fn exchange(&mut self, request: &[u8]) -> Answer {
        if let Err(error) = self.reader.stream.write_all(request) {
            return Answer::None(format!("write: {error}"));
        }
        match self.reader.head() {
            Ok(Some(mut message)) => {
                // A failure leaves what was read, without its end.
                let _ = self.reader.body(&mut message, true);
                Answer::Got(message)
            }
            Ok(None) => Answer::None("closed without an answer".to_string()),
            Err(error) => Answer::None(format!("read: {error}")),
        }
    }
}

/// Sends one request on a connection of its own.
pub fn send_once(address: SocketAddr, request: &[u8]) -> Answer {
    match Client::connect(address) {
        Ok(mut client) => client.exchange(request),
        Err(error) => Answer::None(format!("connect: {error}")),
    }
}

/// Waits until a condition holds. Returns whether it did in time.
pub fn wait_for(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if condition() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    condition()
}
