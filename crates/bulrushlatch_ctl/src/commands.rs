//! The commands of `bulrushctl`.

use bulrushlatch_core::version::settings::{AuditEntry, ChangeOutcome, ROOT_TEAM, TARGETS_BRANCH};
use bulrushlatch_entry::{
    operator_api::{Explanation, SettingRow, StatusReport},
    publishing::PublishReply,
};
use bulrushlatch_protocol::change::{Change, SettingKey};
use serde_json::Value;

use crate::{
    client::Client,
    explain_request::explain_request,
    flags::{Bulrushctl, BulrushctlCmd, Drain, Explain, Publish, Submit},
    table::render,
};

/// Runs the command that `flags` selects and returns the text to print.
///
/// # Errors
///
/// Returns a message when an argument is invalid, a file cannot be read, no entry can be reached or
/// the entry rejects the request.
pub fn run(flags: Bulrushctl) -> Result<String, String> {
    if let BulrushctlCmd::ExplainRequest(request) = &flags.subcommand {
        return explain_request(&request.id, std::io::stdin().lock());
    }
    let addresses = flags.entries.or_else(|| std::env::var("BULRUSH_ENTRIES").ok());
    let client = Client::new(&addresses.unwrap_or_default())?;
    let as_json = flags.json;
    match flags.subcommand {
        BulrushctlCmd::Publish(publish) => publish_setting(&client, publish, as_json),
        BulrushctlCmd::Show(show) => {
            let path = show.path.unwrap_or_default();
            let url = format!("/v1/settings?path={path}");
            fetch_text(&client, &url, as_json, |settings: Vec<SettingRow>| {
                settings_table(&settings)
            })
        }
        BulrushctlCmd::Explain(explain) => explain_setting(&client, &explain, as_json),
        BulrushctlCmd::History(history) => {
            let url = format!("/v1/audit?count=2000&path={}", history.path);
            fetch_text(&client, &url, as_json, |entries: Vec<AuditEntry>| audit_table(&entries))
        }
        BulrushctlCmd::Audit(audit) => {
            let url = format!("/v1/audit?count={}", audit.count.unwrap_or(50));
            fetch_text(&client, &url, as_json, |entries: Vec<AuditEntry>| audit_table(&entries))
        }
        BulrushctlCmd::Status(_) => {
            fetch_text(&client, "/v1/status", as_json, |status: StatusReport| status_text(&status))
        }
        BulrushctlCmd::Drain(drain) => drain_target(&client, drain, as_json),
        BulrushctlCmd::Submit(submit) => submit_file(&client, &submit),
        BulrushctlCmd::ExplainRequest(_) => unreachable!("handled above, since it needs no entry"),
    }
}

/// Gets `url`, a path with its query, from an entry and formats the answer with `to_text`.
///
/// With `as_json`, returns the body unchanged, also that of an error response.
fn fetch_text<T: serde::de::DeserializeOwned>(
    client: &Client,
    url: &str,
    as_json: bool,
    to_text: impl Fn(T) -> String,
) -> Result<String, String> {
    if as_json {
        return client.get(url).map(|reply| reply.body);
    }
    client.get_json(url).map(to_text)
}

fn publish_setting(client: &Client, flags: Publish, as_json: bool) -> Result<String, String> {
    let key: SettingKey =
        flags.key.parse().map_err(|_| format!("--key: no such setting {:?}", flags.key))?;
    let value = flags.value.as_deref().map(serde_json::from_str::<Value>).transpose();
    let value = value.map_err(|error| format!("--value: not JSON: {error}"))?;
    let expected_version = match flags.expected_version {
        Some(version) => version,
        None => fetch_explanation(client, &flags.path, key)?.version,
    };
    let change = Change {
        change_id: flags.change_id.unwrap_or_else(new_change_id),
        team: flags.team.into(),
        author: flags.author.unwrap_or_else(user_name),
        path: flags.path,
        key,
        value,
        expected_version,
        reason: flags.reason,
        published_at_ms: wall_ms(),
    };
    publish_change(client, &change, as_json)
}

fn publish_change(client: &Client, change: &Change, as_json: bool) -> Result<String, String> {
    let reply = client.post("/v1/changes", change)?;
    let parsed = serde_json::from_str::<PublishReply>(&reply.body);
    let Ok(outcome) = parsed.map(|reply| reply.outcome) else { return Err(reply.body) };
    match outcome {
        _ if as_json => Ok(reply.body),
        ChangeOutcome::Accepted(version) => {
            Ok(format!("accepted: {} {} is at version {version}", change.path, change.key))
        }
        ChangeOutcome::Rejected(cause) => Err(format!("rejected: {cause}")),
    }
}

fn explain_setting(client: &Client, flags: &Explain, as_json: bool) -> Result<String, String> {
    let key: SettingKey =
        flags.key.parse().map_err(|_| format!("key: no such setting {:?}", flags.key))?;
    if as_json {
        let url = format!("/v1/explain?path={}&key={key}", flags.path);
        return client.get(&url).map(|reply| reply.body);
    }
    let explanation = fetch_explanation(client, &flags.path, key)?;
    let heading = format!(
        "{} {key}: version {} at this node, which belongs to {}\n",
        flags.path, explanation.version, explanation.owner
    );
    Ok(heading + &settings_table(&explanation.values))
}

fn fetch_explanation(client: &Client, path: &str, key: SettingKey) -> Result<Explanation, String> {
    client.get_json(&format!("/v1/explain?path={path}&key={key}"))
}

fn drain_target(client: &Client, flags: Drain, as_json: bool) -> Result<String, String> {
    let path = format!("{TARGETS_BRANCH}/{}", flags.agent);
    let expected_version = fetch_explanation(client, &path, SettingKey::Drain)?.version;
    let change = Change {
        change_id: new_change_id(),
        team: ROOT_TEAM.into(),
        author: user_name(),
        path,
        key: SettingKey::Drain,
        value: Some(Value::Bool(!flags.undo)),
        expected_version,
        reason: flags.reason,
        published_at_ms: wall_ms(),
    };
    publish_change(client, &change, as_json)
}

fn submit_file(client: &Client, flags: &Submit) -> Result<String, String> {
    let text = std::fs::read_to_string(&flags.file);
    let text = text.map_err(|error| format!("{}: {error}", flags.file))?;
    let submission: Value =
        serde_json::from_str(&text).map_err(|error| format!("{}: {error}", flags.file))?;
    let reply = client.post("/v1/submissions", &submission)?;
    if reply.is_success { Ok(reply.body) } else { Err(reply.body) }
}

fn settings_table(settings: &[SettingRow]) -> String {
    let rows = settings.iter().map(|row| {
        let value = row.setting.value.as_ref().map(Value::to_string).unwrap_or_default();
        vec![
            if row.path.is_empty() { "(root)".to_owned() } else { row.path.clone() },
            row.key.to_string(),
            value,
            row.setting.version.to_string(),
            row.setting.team.to_string(),
            row.setting.change_id.clone(),
        ]
    });
    let rows: Vec<Vec<String>> = rows.collect();
    render(&["path", "key", "value", "version", "team", "change"], &rows)
}

fn audit_table(entries: &[AuditEntry]) -> String {
    let rows = entries.iter().map(|entry| {
        let change = &entry.change;
        let outcome = match &entry.outcome {
            ChangeOutcome::Accepted(version) => format!("accepted as version {version}"),
            ChangeOutcome::Rejected(cause) => format!("rejected: {cause}"),
        };
        vec![
            entry.offset.to_string(),
            change.published_at_ms.to_string(),
            change.team.to_string(),
            change.author.clone(),
            change.path.clone(),
            change.key.to_string(),
            change.value.as_ref().map_or("(delete)".to_owned(), Value::to_string),
            entry.version_before.to_string(),
            outcome,
            change.reason.clone(),
        ]
    });
    let rows: Vec<Vec<String>> = rows.collect();
    let heading =
        ["offset", "at_ms", "team", "author", "path", "key", "value", "from", "outcome", "reason"];
    render(&heading, &rows)
}

fn status_text(status: &StatusReport) -> String {
    let heading = format!(
        "{}: ready {}, epoch {}, settings offset {}, slices {}, open jobs {}, queued tasks {}\n\n",
        status.name,
        status.is_ready,
        status.epoch,
        status.settings_offset,
        status.owned_slices,
        status.open_jobs,
        status.queued_tasks,
    );
    let or_dash = |number: Option<u64>| number.map_or("-".to_owned(), |number| number.to_string());
    let entries = status.entries.iter().map(|entry| {
        let (silent_ms, offset) = (or_dash(entry.silent_ms), or_dash(entry.settings_offset));
        vec![entry.name.clone(), entry.zone.clone(), entry.address.clone(), silent_ms, offset]
    });
    let entries: Vec<Vec<String>> = entries.collect();
    let agents = status.agents.iter().map(|agent| {
        vec![
            agent.name.clone(),
            agent.zone.clone(),
            agent.service.clone(),
            format!("{}/{}", agent.busy_slots, agent.slots),
            agent.state.clone(),
            or_dash(agent.silent_ms),
        ]
    });
    let agents: Vec<Vec<String>> = agents.collect();
    let entries = render(&["entry", "zone", "address", "silent_ms", "settings offset"], &entries);
    let agents = render(&["agent", "zone", "service", "busy slots", "state", "silent_ms"], &agents);
    format!("{heading}{entries}\n{agents}")
}

fn new_change_id() -> String {
    uuid::Uuid::now_v7().to_string()
}

fn user_name() -> String {
    std::env::var("USER").unwrap_or_else(|_| "unknown".to_owned())
}

fn wall_ms() -> u64 {
    use bulrushlatch_core::clock::{Clock, SystemClock};
    SystemClock.wall_ms()
}
