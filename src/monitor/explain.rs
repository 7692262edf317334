//! `/explain`: where a new flow would go.

use std::fmt::Display;
use std::str::FromStr;

use ::http::StatusCode;
use dogwoodrill_core::forwarded::explain::{ExplainError, Query};
use dogwoodrill_core::forwarded::packet::FlowKey;
use snafu::{OptionExt, Snafu};

use crate::forwarded::explain::{AskError, CallerAddress, ExplainHandle, wire};
use crate::http::{Reply, json};

/// Error of the arguments of a call.
#[derive(Debug, Snafu)]
enum ArgumentError {
    #[snafu(display(
        "{name} is missing; the arguments are to=IP:PORT, from=IP:PORT and zone=ZONE"
    ))]
    Missing { name: &'static str },
    #[snafu(display("{name}={value} is malformed: {problem}"))]
    Malformed {
        name: &'static str,
        value: String,
        problem: String,
    },
    #[snafu(display("there is no argument {name}; the arguments are to, from and zone"))]
    Unknown { name: String },
}

/// Answers a call with these arguments.
pub(super) async fn reply(handle: &ExplainHandle, arguments: Option<&str>) -> Reply {
    let query = match parse(arguments.unwrap_or_default()) {
        Ok(query) => query,
        Err(e) => return error(StatusCode::BAD_REQUEST, &e),
    };
    match handle.ask(query).await {
        Ok(explanation) => encode(StatusCode::OK, &wire::Explanation::from(explanation)),
        Err(e) => error(status(&e), &e),
    }
}

const fn status(error: &AskError) -> StatusCode {
    match error {
        AskError::Unavailable | AskError::Late => StatusCode::SERVICE_UNAVAILABLE,
        AskError::Explain { source } => match source {
            ExplainError::NoConfiguration => StatusCode::SERVICE_UNAVAILABLE,
            ExplainError::NoRoute { .. } | ExplainError::UnknownZone { .. } => {
                StatusCode::NOT_FOUND
            }
        },
    }
}

fn error(status: StatusCode, error: &dyn Display) -> Reply {
    let error = error.to_string();
    encode(status, &wire::Error { error })
}

fn encode(status: StatusCode, answer: &impl serde::Serialize) -> Reply {
    match serde_json::to_vec(answer) {
        Ok(body) => json(status, body),
        Err(e) => crate::http::text(StatusCode::INTERNAL_SERVER_ERROR, format!("{e}\n")),
    }
}

fn parse(arguments: &str) -> Result<Query, ArgumentError> {
    let (mut to, mut from, mut zone) = (None, None, None);
    for argument in arguments.split('&').filter(|a| !a.is_empty()) {
        let (name, value) = argument.split_once('=').unwrap_or((argument, ""));
        // No other character of an argument needs an escape, and some clients escape this one.
        let value = value.replace("%3A", ":").replace("%3a", ":");
        match name {
            "to" => to = Some(parse_value("to", &value)?),
            "from" => from = Some(parse_value::<CallerAddress>("from", &value)?),
            "zone" => zone = Some(parse_value("zone", &value)?),
            name => return UnknownSnafu { name }.fail(),
        }
    }
    let flow = FlowKey {
        caller: from.context(MissingSnafu { name: "from" })?.into(),
        service: to.context(MissingSnafu { name: "to" })?,
    };
    Ok(Query { flow, zone })
}

fn parse_value<T: FromStr<Err: Display>>(
    name: &'static str,
    value: &str,
) -> Result<T, ArgumentError> {
    value.parse().map_err(|e: T::Err| ArgumentError::Malformed {
        name,
        value: value.to_owned(),
        problem: e.to_string(),
    })
}
