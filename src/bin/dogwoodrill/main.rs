//! The command line of dogwoodrill: parses the arguments, calls one function of [`dogwoodrill::ops`] and
//! prints its result.

use std::process::ExitCode;

use dogwoodrill::ops::{EXIT_FAILED, EXIT_USAGE};
use gumdrop::{Options, ParsingStyle};
use tokio::runtime::Builder;

mod agent;
mod balancer;
mod certs;
mod check_config;
mod control;
mod explain;
mod load;
mod node;
mod output;
mod profile;
mod report;
mod session;
mod status;
mod zone;

use output::Report;

#[derive(Debug, Options)]
#[options(help = "A layer-4 load balancer for public bodies with few staff.

Example:
  dogwoodrill certs init --dir keys --service orders=orders.example
  dogwoodrill check-config control.yaml
  dogwoodrill control --config control.yaml

Run dogwoodrill COMMAND --help for the options of a command; docs/cli.md lists the exit codes.")]
struct Cli {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "print the version", no_short)]
    version: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "run a balancer: forward packets of callers")]
    Balancer(balancer::Cli),
    #[options(help = "run an agent: terminate flows on the host of a backend server")]
    Agent(agent::Cli),
    #[options(help = "run a control host: store the committed configuration")]
    Control(control::Cli),
    #[options(help = "run a process of the platform")]
    Node(node::Cli),
    #[options(help = "find all faults of settings files")]
    CheckConfig(check_config::Cli),
    #[options(help = "read and change profiles")]
    Profile(profile::Cli),
    #[options(help = "take availability zones out and in")]
    Zone(zone::Cli),
    #[options(help = "show the control hosts and the configuration")]
    Status(status::Cli),
    #[options(help = "explain where a new flow would go")]
    Explain(explain::Cli),
    #[options(help = "report on error budgets")]
    Report(report::Cli),
    #[options(help = "call a service at a fixed rate")]
    Load(load::Cli),
    #[options(help = "make certificates")]
    Certs(certs::Cli),
}

fn main() -> ExitCode {
    let args: Vec<_> = std::env::args().skip(1).collect();
    match Cli::parse_args(&args, ParsingStyle::AllOptions) {
        Ok(cli) if cli.help_requested() => help(&cli),
        Ok(cli) if cli.version => {
            println!("dogwoodrill {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        Ok(cli) => match cli.command {
            Some(command) => start(command),
            None => usage_error("no command given"),
        },
        Err(e) => usage_error(&e.to_string()),
    }
}

/// Starts the runtime and runs a command. A `node` process has a small share of one CPU, so it uses a
/// single-threaded runtime: more threads would only compete for it.
fn start(command: Command) -> ExitCode {
    let mut builder = match command {
        Command::Node(_) => Builder::new_current_thread(),
        _ => Builder::new_multi_thread(),
    };
    match builder.enable_all().build() {
        Ok(runtime) => runtime.block_on(run(command)).print(),
        Err(e) => {
            eprintln!("error: cannot start the runtime: {e}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

async fn run(command: Command) -> Report {
    match command {
        Command::Balancer(cli) => balancer::run(cli).await,
        Command::Agent(cli) => agent::run(cli).await,
        Command::Control(cli) => control::run(cli).await,
        Command::Node(cli) => node::run(cli).await,
        Command::CheckConfig(cli) => check_config::run(cli),
        Command::Profile(cli) => profile::run(cli).await,
        Command::Zone(cli) => zone::run(cli).await,
        Command::Status(cli) => status::run(cli).await,
        Command::Explain(cli) => explain::run(cli).await,
        Command::Report(cli) => report::run(cli).await,
        Command::Load(cli) => load::run(cli).await,
        Command::Certs(cli) => certs::run(cli),
    }
}

fn help(cli: &Cli) -> ExitCode {
    let mut command: &dyn Options = cli;
    let mut names = String::from("dogwoodrill");
    while let Some(inner) = command.command() {
        if let Some(name) = inner.command_name() {
            names.push(' ');
            names.push_str(name);
        }
        command = inner;
    }
    println!("Usage: {names} [OPTIONS]\n\n{}", command.self_usage());
    if let Some(commands) = command.self_command_list() {
        println!("\nCommands:\n{commands}");
    }
    ExitCode::SUCCESS
}

fn usage_error(problem: &str) -> ExitCode {
    eprintln!("error: {problem}; try dogwoodrill --help");
    ExitCode::from(EXIT_USAGE)
}
