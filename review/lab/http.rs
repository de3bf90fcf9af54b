//! HTTP/1.1 as the stand-ins speak it: reading requests and responses, writing responses.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// Headers in the order in which they came, with names in lower case.
pub type Headers = Vec<(String, String)>;

pub fn header<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    headers.iter().find(|it| it.0 == name).map(|it| it.1.as_str())
}

#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    /// Path with its query.
    pub target: String,
    pub headers: Headers,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns a field of the query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        let mut fields = query.split('&').filter_map(|field| field.split_once('='));
        fields.find(|it| it.0 == name).map(|it| it.1)
    }
}

/// Reads a request, or `None` if the connection ended before one.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let Some(first) = read_line(reader)? else { return Ok(None) };
    let mut words = first.split(' ');
    let method = words.next().unwrap_or_default().to_string();
    let target = words.next().unwrap_or_default().to_string();
    let headers = read_headers(reader)?;
    let mut body = Vec::new();
    read_body(reader, &headers, false, &mut body)?;
    Ok(Some(Request { method, target, headers, body }))
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    Ok(Some(line.trim_end().to_string()))
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<Headers> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_string()));
        }
    }
}

/// Appends a body to `body`, of which a part remains there if it breaks off.
fn read_body(
    reader: &mut impl BufRead,
    headers: &Headers,
    ends_with_connection: bool,
    body: &mut Vec<u8>,
) -> io::Result<()> {
    if header(headers, "transfer-encoding") == Some("chunked") {
        loop {
            let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
            let size = usize::from_str_radix(&line, 16).map_err(|_| io::ErrorKind::InvalidData)?;
            read_exactly(reader, size, body)?;
            read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
            if size == 0 {
                return Ok(());
            }
        }
    }
    match header(headers, "content-length") {
        Some(length) => {
            let length = length.parse().map_err(|_| io::ErrorKind::InvalidData)?;
            read_exactly(reader, length, body)
        }
        None if ends_with_connection => reader.read_to_end(body).map(|_| ()),
        None => Ok(()),
    }
}

fn read_exactly(reader: &mut impl BufRead, mut size: usize, body: &mut Vec<u8>) -> io::Result<()> {
    let mut buffer = [0; 4_096];
    while size > 0 {
        let limit = size.min(buffer.len());
        let length = reader.read(&mut buffer[..limit])?;
        if length == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        body.extend_from_slice(&buffer[..length]);
        size -= length;
    }
    Ok(())
}

/// Returns the bytes of a response with a length.
pub fn response(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{headers}content-length: {}\r\n\r\n{body}", body.len())
}

/// Returns a chunk of a body.
pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// What a client got.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// `None` if the connection failed before a head.
    pub status: Option<u16>,
    pub headers: Headers,
    pub body: String,
    pub is_complete: bool,
}

impl Answer {
    /// Returns the status for the record.
    pub fn name(&self) -> String {
        match (self.status, self.is_complete) {
            (Some(status), true) => status.to_string(),
            (Some(status), false) => format!("{status}, broken off"),
            (None, _) => "no answer".to_string(),
        }
    }
}

/// Sends a request on a new connection and reads its answer to the end.
pub fn exchange(address: SocketAddr, request: &str, timeout: Duration) -> Answer {
    let mut answer = Answer::default();
    let _ = try_exchange(address, request, timeout, &mut answer);
    answer
}

fn try_exchange(
    address: SocketAddr,
    request: &str,
    timeout: Duration,
    answer: &mut Answer,
) -> io::Result<()> {
    let until = Instant::now() + timeout;
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(until.saturating_duration_since(Instant::now())))?;
    stream.write_all(request.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let first = read_line(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let status = first.split(' ').nth(1).and_then(|status| status.parse().ok());
    answer.headers = read_headers(&mut reader)?;
    answer.status = status;
    let mut body = Vec::new();
    let ended = read_body(&mut reader, &answer.headers, true, &mut body);
    answer.body = String::from_utf8_lossy(&body).to_string();
    answer.is_complete = ended.is_ok();
    ended
}

/// Returns whether a request for this path is answered with 200.
pub fn is_ok(address: SocketAddr, path: &str) -> bool {
    let request = format!("GET {path} HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n");
    exchange(address, &request, Duration::from_secs(1)).status == Some(200)
}
