//! Writing the group of claim holders, in place of the controller.

use anyhow::{Context, ensure};
use driftspring_types::{ClaimGroup, ClaimGroupMember, FencingToken, Incarnation};
use serde::Deserialize;
use serde_json::{Value, json};

use crate::system::System;

/// The path of the group in the object store.
const GROUP_PATH: &str = "/objects/claims/group";

/// The answer to a question about members.
#[derive(Deserialize)]
struct Members {
    columns: Vec<String>,
    rows: Vec<Vec<Value>>,
}

#[derive(Deserialize)]
struct StoredObject {
    revision: u64,
}

impl System {
    /// Writes a group of the daemons `holders`, in their present lives. Where it replaces another
    /// group, every life that held claims in that one must be over: nothing is sealed here.
    ///
    /// # Errors
    ///
    /// A daemon or the store does not answer.
    pub async fn write_claim_group(&self, epoch: u64, holders: &[&str]) -> anyhow::Result<()> {
        let mut members = Vec::new();
        for holder in holders {
            members.push(ClaimGroupMember {
                daemon: (*holder).into(),
                incarnation: self.daemon_incarnation(holder).await?,
            });
        }
        let group = ClaimGroup {
            epoch,
            holders: members,
            fencing_token: FencingToken(epoch),
        };
        let store = self.object_store()?.address;
        let stored = self.control.get(store, GROUP_PATH).await.ok();
        let expected = match stored {
            Some(text) => serde_json::from_str::<StoredObject>(&text)?.revision,
            None => 0,
        };
        let path = format!("{GROUP_PATH}?expect={expected}");
        let value = serde_json::to_value(group)?;
        self.control.put(store, &path, &value).await?;
        Ok(())
    }

    /// The present life of the daemon `id`, by its own table of members.
    ///
    /// # Errors
    ///
    /// It does not answer, or does not know itself yet.
    pub async fn daemon_incarnation(&self, id: &str) -> anyhow::Result<Incarnation> {
        let address = self.daemon(id)?.operators().context("never started")?;
        let body = json!({"statement": "show members"});
        let text = self
            .control
            .post(address, "/operator/statement", &body)
            .await?;
        let members: Members = serde_json::from_str(&text)?;
        let column = |name: &str| {
            let position = members.columns.iter().position(|column| column == name);
            position.with_context(|| format!("no column {name}"))
        };
        let (id_column, life_column) = (column("name")?, column("incarnation")?);
        let row = members.rows.iter().find(|row| row[id_column] == id);
        let row = row.with_context(|| format!("daemon {id} does not know itself yet"))?;
        let incarnation = row[life_column].as_u64().context("no incarnation")?;
        ensure!(incarnation > 0, "daemon {id} has no incarnation");
        Ok(Incarnation(incarnation))
    }
}
