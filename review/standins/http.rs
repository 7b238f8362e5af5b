//! A small HTTP/1.1 server and client, and access to fields of flat JSON.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

pub struct Request {
    /// Path with the query.
    pub target: String,
    /// Header lines in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value.to_owned())
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
}

impl Response {
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Self { status, body: body.into() }
    }
}

fn read_head(reader: &mut BufReader<TcpStream>) -> Option<(String, Vec<(String, String)>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

fn read_body(reader: &mut BufReader<TcpStream>, headers: &[(String, String)]) -> Option<Vec<u8>> {
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let length: usize = length.map_or(Some(0), |(_, value)| value.parse().ok())?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

/// Serves an address, with one thread for each connection.
pub fn serve<F>(address: &str, handle: F) -> std::io::Result<()>
where
    F: Fn(&Request) -> Response + Send + Sync + 'static,
{
    let listener = TcpListener::bind(address)?;
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            thread::spawn(move || serve_connection(stream, &*handle));
        }
    });
    Ok(())
}

fn serve_connection(stream: TcpStream, handle: &(impl Fn(&Request) -> Response + ?Sized)) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some((first, headers)) = read_head(&mut reader) {
        let target = first.split(' ').nth(1).unwrap_or("");
        let Some(body) = read_body(&mut reader, &headers) else { return };
        let request = Request { target: target.to_owned(), headers, body };
        let response = handle(&request);
        let mut bytes = format!(
            "HTTP/1.1 {} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            response.status,
            response.body.len()
        )
        .into_bytes();
        bytes.extend(response.body);
        if writer.write_all(&bytes).is_err() {
            return;
        }
    }
}

/// An open connection of a client.
pub struct Connection {
    writer: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(address: &str) -> Option<Self> {
        let stream = TcpStream::connect(address).ok()?;
        let _ = stream.set_nodelay(true);
        Some(Self { writer: stream.try_clone().ok()?, reader: BufReader::new(stream) })
    }

    /// Returns a handle that closes the connection while a call waits for its answer.
    pub fn handle(&self) -> TcpStream {
        self.writer.try_clone().expect("the socket is open")
    }

    /// Sends a request and returns its answer; `None` if none arrives in time.
    pub fn call(&mut self, request: &str, body: &str, timeout: Duration) -> Option<(u16, String)> {
        let length = body.len();
        let head = format!("{request}Content-Type: application/json\r\nContent-Length: {length}");
        let bytes = format!("{head}\r\n\r\n{body}");
        self.writer.set_read_timeout(Some(timeout)).ok()?;
        self.writer.write_all(bytes.as_bytes()).ok()?;
        let (first, headers) = read_head(&mut self.reader)?;
        let status = first.split(' ').nth(1)?.parse().ok()?;
        let body = read_body(&mut self.reader, &headers)?;
        Some((status, String::from_utf8_lossy(&body).into_owned()))
    }
}

/// Returns a string field of flat JSON.
pub fn json_text(json: &str, name: &str) -> Option<String> {
    let (_, rest) = json.split_once(&format!("\"{name}\":\""))?;
    rest.split('"').next().map(str::to_owned)
}

/// Returns a number field of flat JSON.
pub fn json_number(json: &str, name: &str) -> Option<u64> {
    let (_, rest) = json.split_once(&format!("\"{name}\":"))?;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}
