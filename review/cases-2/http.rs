//! HTTP/1.1 over loopback: a server with a thread for each connection, and a client with one call for
//! each connection.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::Duration,
};

/// A request as the server has read it.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    /// Path with the query.
    pub target: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }
}

#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
}

impl Response {
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Self { status, body: body.into() }
    }
}

/// Serves an address; `None` of the handler closes the connection without a response.
pub fn serve(
    address: SocketAddr,
    handler: impl Fn(Request) -> Option<Response> + Clone + Send + 'static,
) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    thread::spawn(move || {
        for stream in listener.incoming().filter_map(Result::ok) {
            let handler = handler.clone();
            thread::spawn(move || {
                // A connection that breaks needs no handling.
                let _ = serve_connection(stream, handler);
            });
        }
    });
    Ok(())
}

fn serve_connection(
    mut stream: TcpStream,
    handler: impl Fn(Request) -> Option<Response>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(request) = read_request(&mut reader)? {
        let Some(response) = handler(request) else { return Ok(()) };
        let head = format!(
            "HTTP/1.1 {} -\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            response.status,
            response.body.len()
        );
        let mut bytes = head.into_bytes();
        bytes.extend(&response.body);
        stream.write_all(&bytes)?;
    }
    Ok(())
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    Ok(Some(line.trim_end().to_owned()))
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    while let Some(line) = read_line(reader)? {
        let Some((name, value)) = line.split_once(':') else { break };
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    Ok(headers)
}

fn read_body(reader: &mut impl Read, headers: &[(String, String)]) -> io::Result<Vec<u8>> {
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let length: usize = length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(body)
}

fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let Some(line) = read_line(reader)? else { return Ok(None) };
    let mut words = line.split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default().to_owned();
    let headers = read_headers(reader)?;
    let body = read_body(reader, &headers)?;
    Ok(Some(Request { method, target, headers, body }))
}

/// A call to make.
#[derive(Clone, Debug)]
pub struct Call<'a> {
    pub address: SocketAddr,
    pub method: &'a str,
    pub path: &'a str,
    pub headers: Vec<(&'a str, String)>,
    pub body: &'a str,
    pub timeout: Duration,
}

impl Call<'_> {
    /// Makes the call on a connection of its own.
    pub fn send(&self) -> io::Result<Response> {
        let mut stream = TcpStream::connect_timeout(&self.address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(self.timeout))?;
        let mut head = format!("{} {} HTTP/1.1\r\n", self.method, self.path);
        for (name, value) in &self.headers {
            head += &format!("{name}: {value}\r\n");
        }
        head += &format!(
            "Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{}",
            self.body.len(),
            self.body
        );
        stream.write_all(head.as_bytes())?;
        let mut reader = BufReader::new(stream);
        let line = read_line(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let status = line.split(' ').nth(1).and_then(|status| status.parse().ok());
        let status = status.ok_or(io::ErrorKind::InvalidData)?;
        let headers = read_headers(&mut reader)?;
        let body = read_body(&mut reader, &headers)?;
        Ok(Response { status, body })
    }
}
