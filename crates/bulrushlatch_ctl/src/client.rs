//! Calls to the entries.

use std::time::Duration;

use serde::{Serialize, de::DeserializeOwned};

/// Longest wait for an answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(620);
/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// An answer of an entry.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Whether the entry did what was asked.
    pub is_success: bool,
    /// The body.
    pub body: String,
}

/// Calls the first entry that can be reached.
#[derive(Clone, Debug)]
pub struct Client {
    entries: Vec<String>,
}

impl Client {
    /// Returns a client for entries at `addresses`, separated by commas.
    ///
    /// # Errors
    ///
    /// Returns an error when there is no address.
    pub fn new(addresses: &str) -> Result<Self, String> {
        let entries = addresses.split(',').map(str::trim).filter(|address| !address.is_empty());
        let entries: Vec<String> = entries.map(str::to_owned).collect();
        if entries.is_empty() {
            return Err("--entries or BULRUSH_ENTRIES must name an entry".to_owned());
        }
        Ok(Self { entries })
    }

    /// Gets a path.
    ///
    /// # Errors
    ///
    /// Returns an error when no entry can be reached.
    pub fn get(&self, path: &str) -> Result<Reply, String> {
        self.first_reached(|entry| {
            let request = attohttpc::get(format!("http://{entry}{path}"));
            request.connect_timeout(CONNECT_TIMEOUT).timeout(CALL_TIMEOUT).send()
        })
    }

    /// Gets a path and parses the answer.
    ///
    /// # Errors
    ///
    /// Returns an error when no entry can be reached, or it answers with an error.
    pub fn get_json<T: DeserializeOwned>(&self, path: &str) -> Result<T, String> {
        let reply = self.get(path)?;
        if !reply.is_success {
            return Err(reply.body);
        }
        serde_json::from_str(&reply.body).map_err(|error| format!("unreadable answer: {error}"))
    }

    /// Posts a body. Only requests with an id may be posted, since another entry may be tried.
    ///
    /// # Errors
    ///
    /// Returns an error when no entry can be reached.
    pub fn post<T: Serialize>(&self, path: &str, body: &T) -> Result<Reply, String> {
        let body = serde_json::to_string(body).map_err(|error| error.to_string())?;
        self.first_reached(|entry| {
            let request = attohttpc::post(format!("http://{entry}{path}"));
            let request = request.connect_timeout(CONNECT_TIMEOUT).timeout(CALL_TIMEOUT);
            request.text(body.clone()).send()
        })
    }

    fn first_reached(
        &self,
        call: impl Fn(&str) -> attohttpc::Result<attohttpc::Response>,
    ) -> Result<Reply, String> {
        let mut faults = Vec::new();
        for entry in &self.entries {
            let reply = call(entry).and_then(|response| {
                let is_success = response.is_success();
                Ok(Reply { is_success, body: response.text()? })
            });
            match reply {
                Ok(reply) => return Ok(reply),
                Err(error) => faults.push(format!("{entry}: {error}")),
            }
        }
        Err(format!("no entry answered: {}", faults.join("; ")))
    }
}
