//! Executes statements.

use std::sync::Arc;

use driftspring_language::api::{Plan, Refusal, StatementAnswer, StatementRequest};
use driftspring_language::{Command, Query, Statement, parse, select};
use driftspring_telemetry::events::operator;
use driftspring_telemetry::log_event;

use super::planner::{PlannedChange, PlanningView, plan};
use super::tables;
use crate::control::config_writer::{ProposalOutcome, propose};
use crate::state::DaemonState;

/// Executes a statement. Must be called on an ntex thread.
pub async fn execute(state: &Arc<DaemonState>, request: &StatementRequest) -> StatementAnswer {
    match parse(&request.statement) {
        Err(error) => StatementAnswer::Invalid { error },
        Ok(Statement::Show(query)) => show(state, &query).await,
        Ok(Statement::Command(command)) => order(state, &command, request.dry_run).await,
    }
}

async fn show(state: &Arc<DaemonState>, query: &Query) -> StatementAnswer {
    let rows = match tables::rows(state, query.table).await {
        Ok(rows) => rows,
        Err(error) => {
            let refusal = Refusal::StoreUnreachable {
                cause: error.to_string(),
            };
            return StatementAnswer::Refused { refusal };
        }
    };
    let columns = query.table.columns().iter();
    StatementAnswer::Rows {
        columns: columns.map(|column| column.name.to_owned()).collect(),
        rows: select(query, rows),
    }
}

async fn order(state: &Arc<DaemonState>, command: &Command, dry_run: bool) -> StatementAnswer {
    let view = PlanningView::of(state, command);
    let planned = match plan(&view, command) {
        Ok(planned) => planned,
        Err(refusal) => return refused(command, refusal),
    };
    if dry_run {
        let plan = planned.plan;
        return StatementAnswer::Planned { plan };
    }
    if planned.plan.changes.is_empty() {
        let PlannedChange { plan, .. } = planned;
        return accepted(command, plan.expected_revision, plan);
    }
    carry_out(state, command, planned).await
}

async fn carry_out(
    state: &Arc<DaemonState>,
    command: &Command,
    planned: PlannedChange,
) -> StatementAnswer {
    let PlannedChange { proposal, plan } = planned;
    match propose(state, &proposal).await {
        ProposalOutcome::Accepted { revision } => accepted(command, revision, plan),
        ProposalOutcome::Refused { current } => {
            let conflict = Refusal::Conflict {
                key: plan.key,
                expected: plan.expected_revision,
                winning: current.revision,
                winning_value: match current.is_absent() {
                    true => None,
                    false => current.value.map(|value| value.to_string()),
                },
            };
            refused(command, conflict)
        }
        ProposalOutcome::NotSent(error) => {
            let cause = error.to_string();
            refused(command, Refusal::StoreUnreachable { cause })
        }
        ProposalOutcome::Unknown { write_id, cause } => {
            log_event!(
                operator::STATEMENT_UNKNOWN,
                "statement={:?} write_id={write_id} cause={cause}",
                command.to_string()
            );
            StatementAnswer::Unknown {
                write_id: write_id.to_string(),
                cause: cause.to_string(),
                plan,
            }
        }
    }
}

fn accepted(
    command: &Command,
    revision: driftspring_types::Revision,
    plan: Plan,
) -> StatementAnswer {
    log_event!(
        operator::STATEMENT_EXECUTED,
        "statement={:?} revision={revision}",
        command.to_string()
    );
    StatementAnswer::Accepted { revision, plan }
}

fn refused(command: &Command, refusal: Refusal) -> StatementAnswer {
    log_event!(
        operator::STATEMENT_REFUSED,
        "statement={:?} refusal={refusal}",
        command.to_string()
    );
    StatementAnswer::Refused { refusal }
}
