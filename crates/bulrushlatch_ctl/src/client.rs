//! HTTP requests to the entries.

use std::time::Duration;

use serde::{Serialize, de::DeserializeOwned};

/// Longest wait for an answer; above the longest timeout of a submission, which is 600 s.
const CALL_TIMEOUT: Duration = Duration::from_secs(620);
/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// The HTTP response of an entry.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Whether the status code is 2xx.
    pub is_success: bool,
    /// The response body as text.
    pub body: String,
}

/// Sends each request to the entries in order until one of them responds.
#[derive(Clone, Debug)]
pub struct Client {
    entries: Vec<String>,
}

impl Client {
    /// Returns a client for the entries at `addresses`, a comma-separated list.
    ///
    /// # Errors
    ///
    /// Returns an error when `addresses` names no entry.
    pub fn new(addresses: &str) -> Result<Self, String> {
        let entries = addresses.split(',').map(str::trim).filter(|address| !address.is_empty());
        let entries: Vec<String> = entries.map(str::to_owned).collect();
        if entries.is_empty() {
            return Err("--entries or BULRUSH_ENTRIES must name an entry".to_owned());
        }
        Ok(Self { entries })
    }

    /// Sends a GET request for `path`.
    ///
    /// # Errors
    ///
    /// Returns an error when no entry can be reached.
    pub fn get(&self, path: &str) -> Result<Reply, String> {
        self.send_to_first_reachable(|entry| {
            let request = attohttpc::get(format!("http://{entry}{path}"));
            request.connect_timeout(CONNECT_TIMEOUT).timeout(CALL_TIMEOUT).send()
        })
    }

    /// Sends a GET request for `path` and parses the JSON response.
    ///
    /// # Errors
    ///
    /// Returns an error when no entry can be reached, the status code is not 2xx or the body does
    /// not parse as a `T`.
    pub fn get_json<T: DeserializeOwned>(&self, path: &str) -> Result<T, String> {
        let reply = self.get(path)?;
        if !reply.is_success {
            return Err(reply.body);
        }
        serde_json::from_str(&reply.body)
            .map_err(|error| format!("{path}: unexpected answer: {error}"))
    }

    /// Sends a POST request with `body` as JSON.
    ///
    /// The body must have an id that entries recognise duplicates by: when an entry fails to
    /// respond, the request is sent to the next one, although the first may have handled it.
    ///
    /// # Errors
    ///
    /// Returns an error when `body` cannot be serialized or no entry can be reached.
    pub fn post<T: Serialize>(&self, path: &str, body: &T) -> Result<Reply, String> {
        let body = serde_json::to_string(body).map_err(|error| error.to_string())?;
        self.send_to_first_reachable(|entry| {
            let request = attohttpc::post(format!("http://{entry}{path}"));
            let request = request.connect_timeout(CONNECT_TIMEOUT).timeout(CALL_TIMEOUT);
            request.text(body.clone()).send()
        })
    }

    fn send_to_first_reachable(
        &self,
        send: impl Fn(&str) -> attohttpc::Result<attohttpc::Response>,
    ) -> Result<Reply, String> {
        let mut errors = Vec::new();
        for entry in &self.entries {
            let reply = send(entry).and_then(|response| {
                let is_success = response.is_success();
                Ok(Reply { is_success, body: response.text()? })
            });
            match reply {
                Ok(reply) => return Ok(reply),
                Err(error) => errors.push(format!("{entry}: {error}")),
            }
        }
        Err(format!("no entry answered: {}", errors.join("; ")))
    }
}
