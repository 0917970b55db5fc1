//! The tables that can be asked for, with their columns.

/// A table that `show` reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Table {
    /// Where the requests of each tenant and model go.
    Routes,
    /// Tenants.
    Tenants,
    /// Engines with health and load.
    Engines,
    /// Daemons.
    Members,
    /// What is known to be cached, by engine.
    Cache,
    /// Leases of controllers, as the object store holds them.
    Leases,
    /// Wanted and present versions, by model.
    Models,
    /// Limits of tenants.
    Limits,
    /// The newest requests that engines answered through the daemon that is asked.
    Requests,
}

/// A column of a table.
#[derive(Debug, PartialEq, Eq)]
pub struct Column {
    /// Its name.
    pub name: &'static str,
    /// What its cells hold.
    pub kind: ColumnKind,
}

/// What the cells of a column hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ColumnKind {
    /// Text.
    Text,
    /// Whole numbers.
    Number,
    /// Shares in per cent.
    Percent,
}

const fn text(name: &'static str) -> Column {
    Column {
        name,
        kind: ColumnKind::Text,
    }
}

const fn number(name: &'static str) -> Column {
    Column {
        name,
        kind: ColumnKind::Number,
    }
}

const fn percent(name: &'static str) -> Column {
    Column {
        name,
        kind: ColumnKind::Percent,
    }
}

static ROUTES: [Column; 11] = [
    text("name"),
    text("tenant"),
    text("model"),
    number("version"),
    number("shift_version"),
    percent("shift_percent"),
    text("legacy_address"),
    percent("legacy_percent"),
    number("priority"),
    text("cache"),
    number("revision"),
];

static TENANTS: [Column; 6] = [
    text("name"),
    number("rate"),
    number("concurrency"),
    number("weight"),
    number("routes"),
    number("revision"),
];

static ENGINES: [Column; 18] = [
    text("name"),
    text("zone"),
    text("model"),
    number("version"),
    text("health"),
    text("intent"),
    text("breaker"),
    number("running"),
    number("queued"),
    number("pending_tokens"),
    number("open_here"),
    number("sent_here"),
    number("prompt_tokens_here"),
    number("cached_tokens_here"),
    number("cached_blocks"),
    number("cache_capacity"),
    number("incarnation"),
    text("address"),
];

static MEMBERS: [Column; 8] = [
    text("name"),
    text("zone"),
    text("state"),
    number("revision"),
    number("incarnation"),
    text("callers"),
    text("operators"),
    text("peers"),
];

static CACHE: [Column; 8] = [
    text("engine"),
    text("model"),
    number("version"),
    number("known_blocks"),
    number("lifetime_ms"),
    number("reported_blocks"),
    number("capacity"),
    number("incarnation"),
];

static LEASES: [Column; 6] = [
    text("name"),
    text("holder"),
    number("incarnation"),
    number("token"),
    number("term_ms"),
    number("revision"),
];

static MODELS: [Column; 7] = [
    text("name"),
    number("version"),
    number("parallel"),
    number("floor"),
    number("serving"),
    number("at_version"),
    number("revision"),
];

static LIMITS: [Column; 6] = [
    text("tenant"),
    number("rate"),
    number("concurrency"),
    number("weight"),
    number("open_here"),
    number("revision"),
];

static REQUESTS: [Column; 12] = [
    text("request"),
    text("route"),
    text("tenant"),
    text("model"),
    number("version"),
    text("engine"),
    text("last_engine"),
    number("prompt_tokens"),
    number("cached_tokens"),
    number("tokens"),
    text("outcome"),
    number("age_ms"),
];

impl Table {
    /// Every table with its name.
    pub const NAMES: [(&'static str, Self); 9] = [
        ("routes", Self::Routes),
        ("tenants", Self::Tenants),
        ("engines", Self::Engines),
        ("members", Self::Members),
        ("cache", Self::Cache),
        ("leases", Self::Leases),
        ("models", Self::Models),
        ("limits", Self::Limits),
        ("requests", Self::Requests),
    ];

    /// Its name.
    pub fn name(self) -> &'static str {
        match self {
            Self::Routes => "routes",
            Self::Tenants => "tenants",
            Self::Engines => "engines",
            Self::Members => "members",
            Self::Cache => "cache",
            Self::Leases => "leases",
            Self::Models => "models",
            Self::Limits => "limits",
            Self::Requests => "requests",
        }
    }

    /// Its columns, in the order in which they are shown.
    pub fn columns(self) -> &'static [Column] {
        match self {
            Self::Routes => &ROUTES,
            Self::Tenants => &TENANTS,
            Self::Engines => &ENGINES,
            Self::Members => &MEMBERS,
            Self::Cache => &CACHE,
            Self::Leases => &LEASES,
            Self::Models => &MODELS,
            Self::Limits => &LIMITS,
            Self::Requests => &REQUESTS,
        }
    }

    /// The position of the column `name`.
    pub fn position(self, name: &str) -> Option<usize> {
        self.columns().iter().position(|column| column.name == name)
    }
}
