//! The bootstrap section: tenants, routes and engines that hold until newer ones are heard of.

use std::collections::HashSet;
use std::ops::RangeInclusive;

use driftspring_types::{
    EngineId, KeyHash, LegacyUpstream, ModelName, Route, Tenant, TenantId, VersionShift,
    WeightsVersion, ZoneName,
};

use crate::document::Section;
use crate::error::Problem;
use crate::model::{BootstrapEngine, BootstrapSettings};
use crate::values::{self, RawValue, Refusal};

/// What a bearer key hash looks like.
const KEY_HASH_EXPECTED: &str = "the BLAKE3 hash of the bearer key, 64 hexadecimal digits";

/// Reads the section; faulty entries are reported and left out.
pub(crate) fn read_bootstrap(section: Section<'_>) -> BootstrapSettings {
    let tenants = unique(section.sections("tenants"), "id", read_tenant);
    let routes = unique(section.sections("routes"), "name", |route| {
        read_route(route, &tenants)
    });
    let engines = unique(section.sections("engines"), "id", read_engine);
    section.finish();
    BootstrapSettings {
        tenants,
        routes,
        engines,
    }
}

/// Reads each table of a list and reports those whose `name_key` stands twice.
fn unique<'a, T>(
    sections: Vec<Section<'a>>,
    name_key: &'static str,
    read: impl Fn(Section<'a>) -> Option<T>,
) -> Vec<T> {
    let mut names = HashSet::new();
    let mut entries = Vec::with_capacity(sections.len());
    for section in sections {
        if let Some(name) = section.peek_text(name_key)
            && !names.insert(name.to_owned())
        {
            let name = name.to_owned();
            section.report(name_key, Problem::Duplicate { name });
        }
        entries.extend(read(section));
    }
    entries
}

fn read_tenant(section: Section<'_>) -> Option<Tenant> {
    let id = section.required("id", "the tenant's name", values::name);
    let key_hash = section.required("key_hash", KEY_HASH_EXPECTED, key_hash);
    let count = |key, default, range: RangeInclusive<u32>| {
        section.or_default(key, default, |raw| {
            let (from, to) = range.into_inner();
            values::integer(raw, u64::from(from)..=u64::from(to)).map(|number| number as u32)
        })
    };
    let requests_per_second = count("requests_per_second", 0, 0..=u32::MAX);
    let max_concurrent = count("max_concurrent", 0, 0..=u32::MAX);
    let weight = count("weight", Tenant::DEFAULT_WEIGHT, 1..=Tenant::MAX_WEIGHT);
    section.finish();
    Some(Tenant {
        id: TenantId::new(id?),
        key_hash: key_hash?,
        requests_per_second,
        max_concurrent,
        weight,
    })
}

fn key_hash(raw: RawValue<'_>) -> Result<KeyHash, Refusal> {
    let text = values::text(raw, "")?;
    KeyHash::from_hex(&text).ok_or_else(|| Refusal::expected(KEY_HASH_EXPECTED))
}

fn read_route(section: Section<'_>, tenants: &[Tenant]) -> Option<Route> {
    let name = section.required("name", "the route's name", values::name);
    let tenant = section.required("tenant", "the tenant's name", values::name);
    if let Some(tenant) = &tenant
        && !tenants.iter().any(|known| known.id.as_str() == tenant)
    {
        let expected = "the id of one of [[bootstrap.tenants]]".to_owned();
        let name = tenant.clone();
        section.report("tenant", Problem::Undefined { name, expected });
    }
    let model = section.required("model", "the model's name", values::name);
    let weights_version =
        section.required("weights_version", "the weights version", weights_version);
    let priority = section.or_default("priority", Route::DEFAULT_PRIORITY, |raw| {
        values::integer(raw, 0..=u64::from(Route::MAX_PRIORITY)).map(|number| number as u8)
    });
    let use_cache = section.or_default("use_cache", true, values::boolean);
    let shift = match section.has("shift") {
        true => read_shift(section.section("shift")),
        false => None,
    };
    let legacy = match section.has("legacy") {
        true => read_legacy(section.section("legacy")),
        false => None,
    };
    section.finish();
    Some(Route {
        name: name?,
        tenant: TenantId::new(tenant?),
        model: ModelName::new(model?),
        weights_version: weights_version?,
        shift,
        legacy,
        priority,
        use_cache,
    })
}

fn weights_version(raw: RawValue<'_>) -> Result<WeightsVersion, Refusal> {
    values::integer(raw, 0..=u64::MAX >> 1).map(WeightsVersion)
}

fn percent(raw: RawValue<'_>) -> Result<u8, Refusal> {
    values::integer(raw, 0..=100).map(|number| number as u8)
}

fn read_shift(section: Section<'_>) -> Option<VersionShift> {
    let to_version = section.required("to_version", "the weights version", weights_version);
    let share = section.required("percent", "a whole number from 0 to 100", percent);
    section.finish();
    Some(VersionShift {
        to_version: to_version?,
        percent: share?,
    })
}

fn read_legacy(section: Section<'_>) -> Option<LegacyUpstream> {
    let expected = "an IP address with a port";
    let address = section.required("address", expected, values::address);
    let share = section.required("percent", "a whole number from 0 to 100", percent);
    section.finish();
    Some(LegacyUpstream {
        address: address?.to_string(),
        percent: share?,
    })
}

fn read_engine(section: Section<'_>) -> Option<BootstrapEngine> {
    let id = section.required("id", "the engine's name", values::name);
    let address = section.required("address", "an IP address with a port", values::address);
    let zone = section.required("zone", "the engine's zone", values::name);
    let model = section.required("model", "the model's name", values::name);
    section.finish();
    Some(BootstrapEngine {
        id: EngineId::new(id?),
        address: address?,
        zone: ZoneName::new(zone?),
        model: ModelName::new(model?),
    })
}
