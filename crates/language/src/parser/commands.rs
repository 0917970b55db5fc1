//! Reads orders.

use driftspring_types::{EngineId, KeyHash, ModelName, Tenant, TenantId, WeightsVersion};

use super::cursor::{Cursor, Parsed};
use crate::command::{
    AddRoute, AddTenant, Command, LegacyMove, LoadModel, RouteChange, ShiftRoute, TenantChange,
};
use crate::value::Priority;

/// The largest number of replicas in an order.
const MAX_REPLICAS: u32 = 100_000;

/// What an order is about.
#[derive(Debug, Clone, Copy)]
enum Subject {
    Tenant,
    Route,
}

const SUBJECTS: [(&str, Subject); 2] = [("tenant", Subject::Tenant), ("route", Subject::Route)];

pub(super) fn add(cursor: &mut Cursor<'_>) -> Parsed<Command> {
    match cursor.choice(&SUBJECTS)? {
        Subject::Tenant => add_tenant(cursor),
        Subject::Route => add_route(cursor),
    }
}

pub(super) fn set(cursor: &mut Cursor<'_>) -> Parsed<Command> {
    match cursor.choice(&SUBJECTS)? {
        Subject::Tenant => set_tenant(cursor),
        Subject::Route => set_route(cursor),
    }
}

pub(super) fn remove(cursor: &mut Cursor<'_>) -> Parsed<Command> {
    match cursor.choice(&SUBJECTS)? {
        Subject::Tenant => tenant_name(cursor).map(Command::RemoveTenant),
        Subject::Route => route_name(cursor).map(Command::RemoveRoute),
    }
}

fn tenant_name(cursor: &mut Cursor<'_>) -> Parsed<TenantId> {
    cursor.name("the tenant's name").map(TenantId::new)
}

fn route_name(cursor: &mut Cursor<'_>) -> Parsed<String> {
    cursor.name("the route's name")
}

fn model_name(cursor: &mut Cursor<'_>) -> Parsed<ModelName> {
    cursor.name("the model's name").map(ModelName::new)
}

fn version(cursor: &mut Cursor<'_>) -> Parsed<WeightsVersion> {
    cursor.keyword("version")?;
    cursor
        .number("the weights version", 0..=u64::MAX)
        .map(WeightsVersion)
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TenantOption {
    Key,
    KeyHash,
    Rate,
    Concurrency,
    Weight,
}

const KEY_OPTIONS: [(&str, TenantOption); 2] = [
    ("key-hash", TenantOption::KeyHash),
    ("key", TenantOption::Key),
];

const LIMIT_OPTIONS: [(&str, TenantOption); 3] = [
    ("rate", TenantOption::Rate),
    ("concurrency", TenantOption::Concurrency),
    ("weight", TenantOption::Weight),
];

fn add_tenant(cursor: &mut Cursor<'_>) -> Parsed<Command> {
    let tenant = tenant_name(cursor)?;
    let option = cursor.choice(&KEY_OPTIONS)?;
    let key_hash = key_hash(cursor, option)?;
    let limits = tenant_change(cursor, LIMIT_OPTIONS.to_vec())?;
    Ok(Command::AddTenant(AddTenant {
        tenant,
        key_hash,
        limits,
    }))
}

fn set_tenant(cursor: &mut Cursor<'_>) -> Parsed<Command> {
    let tenant = tenant_name(cursor)?;
    let options = [KEY_OPTIONS.as_slice(), LIMIT_OPTIONS.as_slice()].concat();
    if cursor.peek().is_none() {
        cursor.choice(&options)?;
    }
    let change = tenant_change(cursor, options)?;
    Ok(Command::SetTenant { tenant, change })
}

fn key_hash(cursor: &mut Cursor<'_>, option: TenantOption) -> Parsed<KeyHash> {
    if option == TenantOption::Key {
        let key = cursor.text("the bearer key: a word or a quoted text")?;
        return Ok(KeyHash::of_bearer_key(&key));
    }
    let Some(hash) = cursor.peek_word().and_then(KeyHash::from_hex) else {
        let expected = "the BLAKE3 hash of the bearer key: 64 hexadecimal digits";
        return Err(cursor.error(expected));
    };
    cursor.advance();
    Ok(hash)
}

/// Reads options until the end; each may stand once.
fn tenant_change(
    cursor: &mut Cursor<'_>,
    mut possible: Vec<(&'static str, TenantOption)>,
) -> Parsed<TenantChange> {
    let mut change = TenantChange::default();
    while let Some(option) = cursor.choice_or_end(&possible)? {
        match option {
            TenantOption::Key | TenantOption::KeyHash => {
                change.key_hash = Some(key_hash(cursor, option)?);
                possible.retain(|(_, other)| !KEY_OPTIONS.iter().any(|(_, key)| key == other));
            }
            TenantOption::Rate => {
                change.rate = Some(cursor.number("requests per second", 0..=u32::MAX)?);
            }
            TenantOption::Concurrency => {
                change.concurrency = Some(cursor.number("requests open at once", 0..=u32::MAX)?);
            }
            TenantOption::Weight => {
                change.weight = Some(cursor.number("the weight", 1..=Tenant::MAX_WEIGHT)?);
            }
        }
        possible.retain(|(_, other)| *other != option);
    }
    Ok(change)
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RouteOption {
    Change(RouteChangeOption),
    Legacy,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RouteChangeOption {
    Priority,
    Cache,
}

const CHANGE_OPTIONS: [(&str, RouteChangeOption); 2] = [
    ("priority", RouteChangeOption::Priority),
    ("cache", RouteChangeOption::Cache),
];

fn add_route(cursor: &mut Cursor<'_>) -> Parsed<Command> {
    let route = route_name(cursor)?;
    cursor.keyword("tenant")?;
    let tenant = tenant_name(cursor)?;
    cursor.keyword("model")?;
    let model = model_name(cursor)?;
    let version = version(cursor)?;
    let mut added = AddRoute {
        route,
        tenant,
        model,
        version,
        change: RouteChange::default(),
        legacy: None,
    };
    let mut possible: Vec<(&str, RouteOption)> = CHANGE_OPTIONS
        .iter()
        .map(|(word, option)| (*word, RouteOption::Change(*option)))
        .chain([("legacy", RouteOption::Legacy)])
        .collect();
    while let Some(option) = cursor.choice_or_end(&possible)? {
        match option {
            RouteOption::Legacy => {
                let address = cursor.address("the legacy upstream")?;
                let share = cursor.percent("the share of the legacy upstream")?;
                added.legacy = Some((address, share));
            }
            RouteOption::Change(option) => route_change(cursor, option, &mut added.change)?,
        }
        possible.retain(|(_, other)| *other != option);
    }
    Ok(Command::AddRoute(added))
}

fn set_route(cursor: &mut Cursor<'_>) -> Parsed<Command> {
    let route = route_name(cursor)?;
    let mut possible = CHANGE_OPTIONS.to_vec();
    if cursor.peek().is_none() {
        cursor.choice(&possible)?;
    }
    let mut change = RouteChange::default();
    while let Some(option) = cursor.choice_or_end(&possible)? {
        route_change(cursor, option, &mut change)?;
        possible.retain(|(_, other)| *other != option);
    }
    Ok(Command::SetRoute { route, change })
}

fn route_change(
    cursor: &mut Cursor<'_>,
    option: RouteChangeOption,
    change: &mut RouteChange,
) -> Parsed<()> {
    match option {
        RouteChangeOption::Priority => {
            let priority = cursor.number("the priority", 0..=Priority::MAX)?;
            change.priority = Priority::new(priority);
        }
        RouteChangeOption::Cache => {
            change.use_cache = Some(cursor.choice(&[("on", true), ("off", false)])?);
        }
    }
    Ok(())
}

pub(super) fn shift(cursor: &mut Cursor<'_>) -> Parsed<Command> {
    cursor.keyword("route")?;
    let route = route_name(cursor)?;
    cursor.keyword("to")?;
    let version = version(cursor)?;
    let share = cursor.percent("the share of the new version")?;
    Ok(Command::ShiftRoute(ShiftRoute {
        route,
        version,
        share,
    }))
}

pub(super) fn finish_shift(cursor: &mut Cursor<'_>) -> Parsed<Command> {
    shifted_route(cursor).map(Command::FinishShift)
}

pub(super) fn cancel_shift(cursor: &mut Cursor<'_>) -> Parsed<Command> {
    shifted_route(cursor).map(Command::CancelShift)
}

fn shifted_route(cursor: &mut Cursor<'_>) -> Parsed<String> {
    cursor.keyword("shift")?;
    cursor.keyword("route")?;
    route_name(cursor)
}

pub(super) fn move_off_legacy(cursor: &mut Cursor<'_>) -> Parsed<Command> {
    cursor.keyword("route")?;
    let route = route_name(cursor)?;
    cursor.keyword("off")?;
    cursor.keyword("legacy")?;
    let share = cursor.percent("the share moved off the legacy upstream")?;
    Ok(Command::MoveOffLegacy(LegacyMove { route, share }))
}

pub(super) fn drain(cursor: &mut Cursor<'_>) -> Parsed<Command> {
    engine(cursor).map(Command::DrainEngine)
}

pub(super) fn undrain(cursor: &mut Cursor<'_>) -> Parsed<Command> {
    engine(cursor).map(Command::UndrainEngine)
}

fn engine(cursor: &mut Cursor<'_>) -> Parsed<EngineId> {
    cursor.keyword("engine")?;
    cursor.name("the engine's name").map(EngineId::new)
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LoadOption {
    Parallel,
    Floor,
}

pub(super) fn load(cursor: &mut Cursor<'_>) -> Parsed<Command> {
    cursor.keyword("model")?;
    let model = model_name(cursor)?;
    let version = version(cursor)?;
    let mut loaded = LoadModel {
        model,
        version,
        parallel: None,
        floor: None,
    };
    let mut possible = vec![
        ("parallel", LoadOption::Parallel),
        ("floor", LoadOption::Floor),
    ];
    while let Some(option) = cursor.choice_or_end(&possible)? {
        match option {
            LoadOption::Parallel => {
                let parallel = cursor.number("replicas that load at once", 1..=MAX_REPLICAS)?;
                loaded.parallel = Some(parallel);
            }
            LoadOption::Floor => {
                let floor = cursor.number("replicas that must serve", 0..=MAX_REPLICAS)?;
                loaded.floor = Some(floor);
            }
        }
        possible.retain(|(_, other)| *other != option);
    }
    Ok(Command::LoadModel(loaded))
}
