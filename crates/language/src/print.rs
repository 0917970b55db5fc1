//! Prints statements in the form that the parser reads back.

use std::fmt::{self, Display, Formatter};

use crate::command::{AddRoute, AddTenant, Command, LoadModel, RouteChange, TenantChange};
use crate::query::{Condition, Direction, Query};
use crate::statement::Statement;
use crate::table::ColumnKind;
use crate::token::is_plain_word;
use crate::value::Value;

/// The word for an empty cell, which a text of the same spelling must not be taken for.
const NONE: &str = "none";

impl Display for Statement {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Show(query) => query.fmt(formatter),
            Self::Command(command) => command.fmt(formatter),
        }
    }
}

impl Display for Query {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "show {}", self.table.name())?;
        for (position, condition) in self.conditions.iter().enumerate() {
            let word = if position == 0 { "where" } else { "and" };
            write!(formatter, " {word} {condition}")?;
        }
        if let Some(order) = self.order {
            write!(formatter, " order by {}", order.column.name)?;
            if order.direction == Direction::Descending {
                formatter.write_str(" desc")?;
            }
        }
        match self.limit {
            Some(limit) => write!(formatter, " limit {limit}"),
            None => Ok(()),
        }
    }
}

impl Display for Condition {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let comparison = self.comparison.spelling();
        write!(formatter, "{} {comparison} ", self.column.name)?;
        match (&self.value, self.column.kind) {
            (Value::None, _) => formatter.write_str(NONE),
            (Value::Text(text), _) => write_text(formatter, text),
            (Value::Number(number), ColumnKind::Percent) => write!(formatter, "{number}%"),
            (Value::Number(number), _) => write!(formatter, "{number}"),
        }
    }
}

fn write_text(formatter: &mut Formatter<'_>, text: &str) -> fmt::Result {
    if is_plain_word(text) && !text.eq_ignore_ascii_case(NONE) {
        return formatter.write_str(text);
    }
    let escaped = text.replace('\\', "\\\\").replace('"', "\\\"");
    write!(formatter, "\"{escaped}\"")
}

impl Display for Command {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::AddTenant(added) => added.fmt(formatter),
            Self::SetTenant { tenant, change } => write!(formatter, "set tenant {tenant}{change}"),
            Self::RemoveTenant(tenant) => write!(formatter, "remove tenant {tenant}"),
            Self::AddRoute(added) => added.fmt(formatter),
            Self::SetRoute { route, change } => write!(formatter, "set route {route}{change}"),
            Self::RemoveRoute(route) => write!(formatter, "remove route {route}"),
            Self::ShiftRoute(shift) => {
                let (route, version, share) = (&shift.route, shift.version, shift.share);
                write!(
                    formatter,
                    "shift route {route} to version {version} {share}"
                )
            }
            Self::FinishShift(route) => write!(formatter, "finish shift route {route}"),
            Self::CancelShift(route) => write!(formatter, "cancel shift route {route}"),
            Self::MoveOffLegacy(moved) => {
                write!(
                    formatter,
                    "move route {} off legacy {}",
                    moved.route, moved.share
                )
            }
            Self::DrainEngine(engine) => write!(formatter, "drain engine {engine}"),
            Self::UndrainEngine(engine) => write!(formatter, "undrain engine {engine}"),
            Self::LoadModel(loaded) => loaded.fmt(formatter),
        }
    }
}

impl Display for AddTenant {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let hash = self.key_hash.as_str();
        let (tenant, limits) = (&self.tenant, &self.limits);
        write!(formatter, "add tenant {tenant} key-hash {hash}{limits}")
    }
}

impl Display for TenantChange {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let key_hash = self.key_hash.as_ref().map(|hash| hash.as_str());
        write_option(formatter, "key-hash", key_hash)?;
        write_option(formatter, "rate", self.rate)?;
        write_option(formatter, "concurrency", self.concurrency)?;
        write_option(formatter, "weight", self.weight)
    }
}

impl Display for AddRoute {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "add route {} tenant {} model {} version {}{}",
            self.route, self.tenant, self.model, self.version, self.change
        )?;
        match self.legacy {
            Some((address, share)) => write!(formatter, " legacy {address} {share}"),
            None => Ok(()),
        }
    }
}

impl Display for RouteChange {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write_option(
            formatter,
            "priority",
            self.priority.map(|level| level.get()),
        )?;
        let cache = self.use_cache.map(|on| if on { "on" } else { "off" });
        write_option(formatter, "cache", cache)
    }
}

impl Display for LoadModel {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let (model, version) = (&self.model, self.version);
        write!(formatter, "load model {model} version {version}")?;
        write_option(formatter, "parallel", self.parallel)?;
        write_option(formatter, "floor", self.floor)
    }
}

fn write_option(
    formatter: &mut Formatter<'_>,
    word: &str,
    value: Option<impl Display>,
) -> fmt::Result {
    match value {
        Some(value) => write!(formatter, " {word} {value}"),
        None => Ok(()),
    }
}
