//! Executes statements one after another.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use driftspring_language::api::{InForceAnswer, StatementAnswer, StatementRequest};
use driftspring_language::{Statement, parse};
use ntex::time::sleep;

use crate::client::{CallError, OperatorClient};
use crate::exit::Exit;
use crate::output::{Output, Report};

/// The pause between two questions whether a change is in force everywhere.
const IN_FORCE_PAUSE: Duration = Duration::from_millis(50);

/// The addresses of one or more daemons.
#[derive(Debug, Clone)]
pub(crate) struct ServerList {
    first: SocketAddr,
    others: Vec<SocketAddr>,
}

impl ServerList {
    /// The given addresses in their order, or else `default`.
    pub(crate) fn new(given: &[SocketAddr], default: SocketAddr) -> Self {
        let (first, others) = given.split_first().unwrap_or((&default, &[]));
        Self {
            first: *first,
            others: others.to_vec(),
        }
    }
}

/// What holds for every statement of a run.
#[derive(Debug, Clone)]
pub(crate) struct SessionOptions {
    /// Daemons, tried in turn.
    pub(crate) servers: ServerList,
    /// Whether orders are only planned.
    pub(crate) dry_run: bool,
    /// How long to wait until an accepted order is in force everywhere.
    pub(crate) wait: Option<Duration>,
}

/// A client with its options and output.
pub(crate) struct Session<'a> {
    client: OperatorClient,
    options: SessionOptions,
    output: Output<'a>,
}

/// The answer to a statement and the daemon that gave it.
struct Answered {
    server: SocketAddr,
    answer: StatementAnswer,
}

impl<'a> Session<'a> {
    pub(crate) fn new(client: OperatorClient, options: SessionOptions, output: Output<'a>) -> Self {
        Self {
            client,
            options,
            output,
        }
    }

    /// Executes one statement and writes its answer. `place` goes before an error, for statements of a file.
    pub(crate) async fn execute(&mut self, place: &str, text: &str) -> io::Result<Exit> {
        let statement = match parse(text) {
            Ok(statement) => statement,
            Err(error) => {
                self.output.invalid(place, text, &error)?;
                return Ok(Exit::Usage);
            }
        };
        match self.send(&statement).await {
            Ok(answered) => self.report(place, text, answered).await,
            Err(error) => {
                self.output.no_answer(place, &error)?;
                Ok(match (&error, &statement) {
                    (CallError::AnswerLost { .. }, Statement::Command(_)) => Exit::Unknown,
                    _ => Exit::Unreachable,
                })
            }
        }
    }

    /// Sends a statement to each server in turn until one gives an answer. An order that may have
    /// reached a daemon is sent to no other one.
    async fn send(&self, statement: &Statement) -> Result<Answered, CallError> {
        let request = StatementRequest {
            statement: statement.to_string(),
            dry_run: self.options.dry_run,
        };
        let may_repeat = self.options.dry_run || matches!(statement, Statement::Show(_));
        let ServerList { first, others } = &self.options.servers;
        let mut server = *first;
        let mut others = others.iter().copied();
        loop {
            let error = match self.client.execute(server, &request).await {
                Ok(answer) => return Ok(Answered { server, answer }),
                Err(error) => error,
            };
            let may_go_on = may_repeat || matches!(error, CallError::NotSent { .. });
            match others.next() {
                Some(next) if may_go_on => server = next,
                _ => return Err(error),
            }
        }
    }

    async fn report(&mut self, place: &str, text: &str, answered: Answered) -> io::Result<Exit> {
        let Answered { server, answer } = answered;
        let in_force = self.wait_until_in_force(server, &answer).await;
        let exit = exit_of(&answer, in_force.as_ref(), self.options.wait.is_some());
        let report = Report { answer, in_force };
        self.output.report(place, text, &report)?;
        Ok(exit)
    }

    /// Asks until the change is in force everywhere or the time is over; gives the last answer.
    async fn wait_until_in_force(
        &self,
        server: SocketAddr,
        answer: &StatementAnswer,
    ) -> Option<InForceAnswer> {
        let deadline = Instant::now() + self.options.wait?;
        let StatementAnswer::Accepted { revision, plan } = answer else {
            return None;
        };
        loop {
            let in_force = self.client.in_force(server, &plan.key, *revision).await;
            let in_force = in_force.ok();
            let is_over = Instant::now() + IN_FORCE_PAUSE >= deadline;
            if is_over || in_force.as_ref().is_some_and(InForceAnswer::is_everywhere) {
                return in_force;
            }
            sleep(IN_FORCE_PAUSE).await;
        }
    }

    /// Writes the help of the interactive mode.
    pub(crate) fn help(&mut self) -> io::Result<()> {
        self.output.help()
    }

    /// Writes the prompt of the interactive mode.
    pub(crate) fn prompt(&mut self) -> io::Result<()> {
        self.output.standard.write_all(b"driftspring> ")?;
        self.output.standard.flush()
    }
}

fn exit_of(answer: &StatementAnswer, in_force: Option<&InForceAnswer>, waited: bool) -> Exit {
    match answer {
        StatementAnswer::Rows { .. } | StatementAnswer::Planned { .. } => Exit::Success,
        StatementAnswer::Accepted { .. } => {
            match !waited || in_force.is_some_and(InForceAnswer::is_everywhere) {
                true => Exit::Success,
                false => Exit::NotInForce,
            }
        }
        StatementAnswer::Refused { .. } => Exit::Refused,
        StatementAnswer::Unknown { .. } => Exit::Unknown,
        StatementAnswer::Invalid { .. } => Exit::Usage,
    }
}
