//! Which engines have to be told to drain or to serve.

use std::collections::HashMap;

use driftspring_types::{EngineId, EngineIntent, FencingToken, Incarnation};

/// What one engine was last told, and under which token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Told {
    token: FencingToken,
    incarnation: Incarnation,
    intent: EngineIntent,
}

/// What the holder of a lease has told the engines.
///
/// A new holder tells every engine its intent before it does anything else: the order changes nothing
/// where it is known already, and makes the engine refuse all later orders of earlier holders.
#[derive(Debug, Default)]
pub struct ToldIntents {
    told: HashMap<EngineId, Told>,
}

impl ToldIntents {
    /// Whether the engine has to be told `intent` under `token`.
    pub fn must_tell(
        &self,
        engine: &EngineId,
        incarnation: Incarnation,
        intent: EngineIntent,
        token: FencingToken,
    ) -> bool {
        let wanted = Told {
            token,
            incarnation,
            intent,
        };
        self.told.get(engine) != Some(&wanted)
    }

    /// Notes that the engine accepted the order.
    pub fn note(
        &mut self,
        engine: EngineId,
        incarnation: Incarnation,
        intent: EngineIntent,
        token: FencingToken,
    ) {
        let told = Told {
            token,
            incarnation,
            intent,
        };
        self.told.insert(engine, told);
    }

    /// Whether the engine refuses orders of earlier holders than that of `token`.
    pub fn is_fenced(&self, engine: &EngineId, token: FencingToken) -> bool {
        self.told
            .get(engine)
            .is_some_and(|told| told.token == token)
    }

    /// Forgets engines that are gone.
    pub fn retain(&mut self, is_known: impl Fn(&EngineId) -> bool) {
        self.told.retain(|engine, _| is_known(engine));
    }
}
