//! The program: from flags to the exit code.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::process::ExitCode;
use std::time::Duration;

use ntex::rt::{DefaultRuntime, System};

use crate::client::OperatorClient;
use crate::command_line::Driftctl;
use crate::exit::Exit;
use crate::explain::explain;
use crate::output::Output;
use crate::session::{ServerList, Session, SessionOptions};
use crate::sources::{Source, execute_all};

/// The daemon that is asked where no flag names one.
const DEFAULT_SERVER: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 8081);

/// The word that asks for the story of a request.
const EXPLAIN: &str = "explain";

/// Runs the program on the process's own flags.
pub fn main() -> ExitCode {
    let flags = Driftctl::from_env_or_exit();
    if let [word, id] = flags.statement.as_slice()
        && word == EXPLAIN
    {
        return explain_request(id).into();
    }
    let source = match source_of(&flags) {
        Ok(source) => source,
        Err(error) => {
            eprintln!("{error}");
            return Exit::Usage.into();
        }
    };
    let system = System::new("driftctl", DefaultRuntime);
    match system.block_on(run(flags, source)) {
        Ok(exit) => exit.into(),
        Err(error) => {
            eprintln!("{error:#}");
            Exit::Usage.into()
        }
    }
}

/// Tells what the log lines on standard input say of a request; needs no daemon.
fn explain_request(id: &str) -> Exit {
    match explain(id, io::stdin().lock()) {
        Ok(told) => {
            told.lines.iter().for_each(|line| println!("{line}"));
            match told.is_complete {
                true => Exit::Success,
                false => Exit::Unknown,
            }
        }
        Err(error) => {
            eprintln!("reading the log lines: {error}");
            Exit::Usage
        }
    }
}

fn source_of(flags: &Driftctl) -> Result<Source, &'static str> {
    match (&flags.file, flags.statement.is_empty()) {
        (Some(_), false) => Err("expected either a statement or --file, found both"),
        (Some(file), true) => Ok(Source::File(file.clone())),
        (None, false) => Ok(Source::Statement(flags.statement.join(" "))),
        (None, true) => Ok(Source::StandardInput),
    }
}

async fn run(flags: Driftctl, source: Source) -> anyhow::Result<Exit> {
    let options = SessionOptions {
        servers: ServerList::new(&flags.server, DEFAULT_SERVER),
        dry_run: flags.dry_run,
        wait: flags.wait.map(Duration::from_secs),
    };
    let output = Output {
        standard: &mut io::stdout(),
        errors: &mut io::stderr(),
        format: flags.output.unwrap_or_default(),
    };
    let mut session = Session::new(OperatorClient::new().await?, options, output);
    execute_all(&mut session, &source, flags.stop_on_error).await
}
