//! Client of the administration API.

use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use anyhow::{Context as _, bail};
use http::header::AUTHORIZATION;
use http::{HeaderValue, Method};
use serde::Serialize;
use serde_json::Value;

use crate::http::{Client, Via, request};

/// Longest wait for an answer; longer than an instance tries a change.
const TIMEOUT: Duration = Duration::from_secs(15);

const ADMIN: &str = "ENDIVEFORK_ADMIN";
const KEY: &str = "ENDIVEFORK_OPERATOR_KEY";

/// The administration API of one instance.
pub(crate) struct Remote {
    admin: SocketAddr,
    key: HeaderValue,
    /// Whether to print JSON.
    pub(crate) json: bool,
    runtime: tokio::runtime::Runtime,
    client: Client,
}

/// An error answer.
#[derive(Debug)]
pub(crate) struct Refused {
    pub(crate) status: u16,
    body: Value,
}

impl Refused {
    /// Whether the change may have taken effect.
    pub(crate) fn unknown(&self) -> bool {
        self.body["error"]["outcome"] == "outcome_unknown"
    }
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let error = &self.body["error"];
        match error["message"].as_str() {
            Some(message) => write!(f, "{message}")?,
            None => write!(f, "the instance answered {}", self.status)?,
        }
        for finding in error["findings"].as_array().into_iter().flatten() {
            let text = |field: &str| finding[field].as_str().unwrap_or_default().to_owned();
            write!(
                f,
                "\n  {}: {}; allowed: {}",
                text("at"),
                text("message"),
                text("allowed")
            )?;
        }
        if error.get("present").is_some() {
            write!(
                f,
                "\n  yours:   {}\n  present: {}",
                error["yours"], error["present"]
            )?;
        }
        Ok(())
    }
}

impl std::error::Error for Refused {}

impl Remote {
    pub(crate) fn new(
        admin: Option<SocketAddr>,
        key_file: Option<&Path>,
        json: bool,
    ) -> anyhow::Result<Self> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .context("could not start the runtime")?;
        Ok(Self {
            admin: address(admin)?,
            key: header(&key(key_file)?)?,
            json,
            client: runtime.block_on(async { Client::new() }),
            runtime,
        })
    }

    pub(crate) fn get(&self, path: &str) -> anyhow::Result<Value> {
        self.send(Method::GET, path, Vec::new())
    }

    pub(crate) fn put(&self, path: &str, body: &impl Serialize) -> anyhow::Result<Value> {
        self.send(Method::PUT, path, serde_json::to_vec(body)?)
    }

    pub(crate) fn post(&self, path: &str, body: &impl Serialize) -> anyhow::Result<Value> {
        self.send(Method::POST, path, serde_json::to_vec(body)?)
    }

    pub(crate) fn delete(&self, path: &str) -> anyhow::Result<Value> {
        self.send(Method::DELETE, path, Vec::new())
    }

    /// The object, or none when no object has that name.
    pub(crate) fn find(&self, path: &str) -> anyhow::Result<Option<Value>> {
        match self.get(path) {
            Err(error) => match error.downcast_ref::<Refused>() {
                Some(refused) if refused.status == 404 => Ok(None),
                _ => Err(error),
            },
            found => found.map(Some),
        }
    }

    /// Prints JSON when it is wanted, else what `table` prints.
    pub(crate) fn show(&self, value: &Value, table: impl FnOnce(&Value)) {
        match self.json {
            true => println!("{value:#}"),
            false => table(value),
        }
    }

    /// Prints a change that was taken.
    pub(crate) fn changed(&self, value: &Value) {
        self.show(value, |value| {
            let name = value["name"].as_str().unwrap_or_default();
            println!("{name} is at revision {}", value["rev"]);
        });
    }

    fn send(&self, method: Method, path: &str, body: Vec<u8>) -> anyhow::Result<Value> {
        let url = format!("http://{}/v1/{path}", self.admin);
        let mut request = request(method, &url, body);
        request
            .headers_mut()
            .insert(AUTHORIZATION, self.key.clone());
        let answer = self
            .runtime
            .block_on(self.client.send(Via::Pool, request, TIMEOUT))
            .with_context(|| format!("could not reach the instance at {}", self.admin))?;
        let body = answer.json().unwrap_or(Value::Null);
        match answer.status.is_success() {
            true => Ok(body),
            false => Err(Refused {
                status: answer.status.as_u16(),
                body,
            }
            .into()),
        }
    }
}

/// A name as one segment of a path.
pub(crate) fn segment(name: &str) -> anyhow::Result<&str> {
    match crate::settings::value::name(name) {
        Some(_) => Ok(name),
        None => bail!("bad name `{name}`; allowed: 1 to 64 letters, digits, `-`, `_` or `.`"),
    }
}

fn address(given: Option<SocketAddr>) -> anyhow::Result<SocketAddr> {
    match (given, std::env::var(ADMIN)) {
        (Some(addr), _) => Ok(addr),
        (None, Ok(text)) => text
            .parse()
            .with_context(|| format!("{ADMIN} is not an address")),
        (None, Err(_)) => bail!("name an instance with --admin ADDR or {ADMIN}"),
    }
}

fn key(file: Option<&Path>) -> anyhow::Result<String> {
    match (file, std::env::var(KEY)) {
        (Some(path), _) => std::fs::read_to_string(path)
            .with_context(|| format!("could not read the key file {}", path.display())),
        (None, Ok(key)) => Ok(key),
        (None, Err(_)) => bail!("give the operator key with --key-file FILE or {KEY}"),
    }
}

fn header(key: &str) -> anyhow::Result<HeaderValue> {
    let mut value = HeaderValue::from_str(&format!("Bearer {}", key.trim())).map_err(|_| {
        anyhow::anyhow!("the operator key has characters that a header cannot carry")
    })?;
    value.set_sensitive(true);
    Ok(value)
}
