//! `dogwoodrill profile get|list|diff|apply`.

use std::path::PathBuf;

use dogwoodrill::ops::{self, ProfileApplyOptions};
use dogwoodrill_core::changes::CommandId;
use dogwoodrill_core::config::Version;
use dogwoodrill_core::ids::ProfileName;
use gumdrop::Options;

use crate::output::Report;
use crate::session::{change_options, session_options};

/// Options of the subcommand.
#[derive(Debug, Options)]
#[options(help = "Reads and changes profiles.

Example:
  dogwoodrill profile get orders > orders.yaml
  dogwoodrill profile diff orders.yaml
  dogwoodrill profile apply orders.yaml --wait")]
pub struct Cli {
    #[options(help = "print this help")]
    help: bool,
    #[options(command, required)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "print a profile as a file for `apply`")]
    Get(Get),
    #[options(help = "list the profiles with the services that use them")]
    List(List),
    #[options(help = "compare a file with the committed profile")]
    Diff(Diff),
    #[options(help = "replace a profile by the one in a file")]
    Apply(Apply),
}

#[derive(Debug, Options)]
#[options(
    help = "Prints a profile as a file for `apply`, with the version that it was read at.

Example:
  dogwoodrill profile get orders > orders.yaml
"
)]
struct Get {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "name of the profile")]
    name: Option<ProfileName>,
    #[options(
        no_short,
        help = "settings file",
        meta = "FILE",
        default = "operator.yaml"
    )]
    config: PathBuf,
    #[options(no_short, help = "print JSON")]
    json: bool,
}

#[derive(Debug, Options)]
#[options(help = "Lists the profiles with the services that use them.

Example:
  dogwoodrill profile list")]
struct List {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        no_short,
        help = "settings file",
        meta = "FILE",
        default = "operator.yaml"
    )]
    config: PathBuf,
    #[options(no_short, help = "print JSON")]
    json: bool,
}

#[derive(Debug, Options)]
#[options(
    help = "Compares a file with the committed profile; exits with 1 if they differ.

Example:
  dogwoodrill profile diff orders.yaml
"
)]
struct Diff {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "file with the profile")]
    file: PathBuf,
    #[options(
        no_short,
        help = "settings file",
        meta = "FILE",
        default = "operator.yaml"
    )]
    config: PathBuf,
    #[options(no_short, help = "print JSON")]
    json: bool,
}

#[derive(Debug, Options)]
#[options(
    help = "Replaces a profile by the one in a file, if the committed version is still the version in the
file. A file without a version creates a new profile. Exits with 3 if it is not known whether
the change was accepted, with 5 if another was accepted first, with 6 if not every node has
confirmed it in time.

Example:
  dogwoodrill profile apply orders.yaml --wait
"
)]
struct Apply {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "file with the profile")]
    file: PathBuf,
    #[options(
        no_short,
        help = "settings file",
        meta = "FILE",
        default = "operator.yaml"
    )]
    config: PathBuf,
    #[options(no_short, help = "wait until every node has it in force")]
    wait: bool,
    #[options(
        no_short,
        help = "version to use instead of the one in the file",
        meta = "N"
    )]
    version: Option<Version>,
    #[options(no_short, help = "id of a command that is sent again", meta = "UUID")]
    command_id: Option<CommandId>,
    #[options(no_short, help = "print JSON")]
    json: bool,
}

/// Runs the subcommand.
pub async fn run(cli: Cli) -> Report {
    match cli.command {
        Some(Command::Get(get)) => {
            let name = get.name.expect("the parser requires a name");
            let profile = ops::profile_get(&session_options(get.config), &name).await;
            Report::new(get.json, profile)
        }
        Some(Command::List(list)) => {
            let profiles = ops::profile_list(&session_options(list.config)).await;
            Report::new(list.json, profiles)
        }
        Some(Command::Diff(diff)) => {
            let found = ops::profile_diff(&session_options(diff.config), &diff.file).await;
            Report::new(diff.json, found)
        }
        Some(Command::Apply(apply)) => {
            let options = ProfileApplyOptions {
                file: apply.file,
                change: change_options(apply.command_id, apply.version, apply.wait),
            };
            let applied = ops::profile_apply(&session_options(apply.config), &options).await;
            Report::new(apply.json, applied)
        }
        None => unreachable!("the parser requires a command"),
    }
}
